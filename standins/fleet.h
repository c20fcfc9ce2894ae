#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "child_process.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/transport/http_types.h"

/// Runs a small fleet of local processes for the demo, tests and benchmarks.
namespace shuntjunction::standins {

/// A started process and its addresses.
struct FleetProcess
{
  std::shared_ptr<ChildProcess> mChild;
  std::string mTraffic;   ///< address for traffic
  std::string mAdmin;     ///< address of the admin port; empty for stand-ins
  std::string mSecondary; ///< secondary address; only the platform has one
  std::string mLog;       ///< path of the log file
};

/// Location of the programs and settings of the processes.
struct FleetSettings
{
  std::string mBinaries; ///< build folder
  std::string mFolder;   ///< for settings files and logs; created if missing
  std::string mSecret = "a secret of this fleet";
  std::string mRouterExtra = "{}";    ///< additional members of "router"
  std::string mCompanionExtra = "{}"; ///< additional members of "companion"
  std::string mProcessExtra = "{}";   ///< additional top-level settings
  /// Processes of this zone use the platform's secondary address, which can be
  /// cut off separately.
  std::string mPartitionableZone;
};

/// Starts, signals and kills processes; the destructor kills all of them.
///
/// Processes have the names that the platform lists. The kernel assigns ports.
/// Thread safety: none. A failure aborts the program with a message, since
/// nothing can be tested without a working fleet.
class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts the platform stand-in. Must be called before all other starts.
  void StartPlatform();

  /// Starts an engine stand-in with additional command line options.
  void StartEngine(const std::string& aName,
                   const std::vector<std::string>& aOptions);

  /// Starts a service stand-in whose calls take aDelayMs.
  void StartService(const std::string& aName, std::int64_t aDelayMs);

  /// Starts a companion for a backend and registers it with the platform.
  void StartCompanion(const std::string& aName,
                      const std::string& aBackend,
                      const std::string& aZone,
                      bool aIsEngine = true);

  /// Starts a router and registers it with the platform.
  void StartRouter(const std::string& aName, const std::string& aZone);

  /// Kills a router and starts it again; the platform's list is not changed.
  void RestartRouter(const std::string& aName, const std::string& aZone);

  /// Sends a signal to a process.
  void Signal(const std::string& aName, int aSignal);

  /// Waits for a process and removes it; returns its exit code, or minus the
  /// signal number that killed it.
  int WaitForExit(const std::string& aName);

  /// Kills a process with SIGKILL and removes it.
  void Kill(const std::string& aName);

  /// Changes the name of a process in this fleet, so that the replacement of
  /// an instance presumed lost can take the old name while the process runs.
  void Rename(const std::string& aName, const std::string& aNewName);

  /// Whether a process of this name is running.
  bool IsRunning(const std::string& aName);

  /// The process of this name; aborts if there is none.
  const FleetProcess& Process(const std::string& aName) const;

  /// Registers an instance with the platform or updates its entry.
  void Register(const std::string& aName,
                const std::string& aRole,
                const std::string& aZone,
                bool aIsLeaving);

  /// Removes an instance from the platform's list.
  void Deregister(const std::string& aName);

  /// Writes a configuration object, replacing any existing revision.
  void Apply(const std::string& aKey, const std::string& aValue);

  /// Replaces the platform's faults; see PlatformStandin for the JSON.
  void SetFaults(const std::string& aFaults);

  /// Waits until /readyz of a process returns 200.
  void AwaitReady(const std::string& aName);

  /// Waits until at least aCount engines have loaded a model.
  void AwaitEngines(const std::string& aModel, std::size_t aCount);

  /// Value of a process's metric, summed over all label sets.
  double Metric(const std::string& aName, const std::string& aMetric) const;

  /// Peak resident memory in kilobytes and processor time in seconds.
  std::pair<std::int64_t, double> Usage(const std::string& aName) const;

  /// Sends one HTTP request and waits for the complete response.
  static state::Result<transport::HttpResponse> Call(
    const std::string& aAddress,
    const transport::HttpRequest& aRequest,
    std::int64_t aTimeoutMs = 5000);

  /// Primary address of the platform.
  const std::string& Platform() const;

private:
  FleetProcess Spawn(const std::string& aName,
                     const std::vector<std::string>& aCommand);
  void SpawnRouter(const std::string& aName, const std::string& aZone);
  std::string WriteSettings(const std::string& aName,
                            const boost::json::object& aSettings) const;
  boost::json::object CommonSettings(const std::string& aName,
                                     const std::string& aRole,
                                     const std::string& aZone) const;
  void PutToPlatform(const std::string& aTarget,
                     const std::string& aBody,
                     const std::string& aMethod = "PUT");

  FleetSettings mSettings;
  std::map<std::string, FleetProcess> mProcesses;
  std::vector<std::string> mCompanions; ///< traffic addresses, used as peers
  /// Addresses of killed processes by name, for a restart.
  std::map<std::string, std::string> mAddresses;
};

/// Digest of a bearer token, as stored in team objects.
std::string
KeyDigest(const std::string& aKey);

} // namespace shuntjunction::standins
