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

/// A small fleet of processes on this machine, for demo, tests and benchmarks.
namespace shuntjunction::standins {

/// A process that was started.
struct FleetProcess
{
  std::shared_ptr<ChildProcess> mChild;
  std::string mTraffic; ///< address that it takes traffic on
  std::string mAdmin;   ///< address of its operators' port; empty for stand-ins
  std::string mFar;     ///< second address of the platform
  std::string mLog;     ///< file that its log goes to
};

/// Where the programs are and how the processes are set up.
struct FleetSettings
{
  std::string mBinaries; ///< folder of the build
  std::string mFolder;   ///< for settings files and logs; made if absent
  std::string mSecret = "a secret of this fleet";
  std::string mRouterExtra = "{}";    ///< further members of "router"
  std::string mCompanionExtra = "{}"; ///< further members of "companion"
  std::string mProcessExtra = "{}";   ///< further members of all settings
  std::string mFarZone; ///< its processes reach the platform by its far door
};

/// Starts, signals and ends processes; ends all of them when destroyed.
///
/// Names are those that the platform lists. Every port is the kernel's.
/// Thread safety: none. Failures end the program with a message: a fleet that
/// does not start leaves nothing to test.
class Fleet
{
public:
  explicit Fleet(const FleetSettings& aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts the platform stand-in; needed before all others.
  void StartPlatform();

  /// Starts an engine stand-in with further options.
  void StartEngine(const std::string& aName,
                   const std::vector<std::string>& aOptions);

  /// Starts a plain service stand-in.
  void StartService(const std::string& aName, std::int64_t aDelayMs);

  /// Starts a companion beside a backend and lists it in the platform.
  void StartCompanion(const std::string& aName,
                      const std::string& aBackend,
                      const std::string& aZone,
                      bool aIsEngine = true);

  /// Starts a router and lists it in the platform.
  void StartRouter(const std::string& aName, const std::string& aZone);

  /// Ends a router at once and starts it again; the list is left as it is.
  void RestartRouter(const std::string& aName, const std::string& aZone);

  /// Sends a signal to a process.
  void Signal(const std::string& aName, int aSignal);

  /// Waits for a process to end; its exit code, or minus its signal.
  int WaitForExit(const std::string& aName);

  /// Ends a process at once and forgets it.
  void Kill(const std::string& aName);

  /// Knows a process by another name from now on, as the platform does with
  /// an instance that it takes for lost.
  void Rename(const std::string& aName, const std::string& aNewName);

  /// Whether a process is known and has not ended.
  bool IsRunning(const std::string& aName);

  /// A process that was started.
  const FleetProcess& Process(const std::string& aName) const;

  /// Lists an instance in the platform, or changes its entry.
  void List(const std::string& aName,
            const std::string& aRole,
            const std::string& aZone,
            bool aIsLeaving);

  /// Takes an instance off the platform's list.
  void Unlist(const std::string& aName);

  /// Writes a configuration object, whatever its revision.
  void Apply(const std::string& aKey, const std::string& aValue);

  /// Sets the platform's faults, as JSON.
  void SetFaults(const std::string& aFaults);

  /// Waits until a process's /readyz says that it is ready.
  void AwaitReady(const std::string& aName);

  /// Waits until a router's metrics show all endpoints in use.
  void AwaitEngines(const std::string& aModel, std::size_t aCount);

  /// Value of a metric of a process, summed over all its labels.
  double Metric(const std::string& aName, const std::string& aMetric) const;

  /// Peak resident memory in kilobytes and processor time in seconds.
  std::pair<std::int64_t, double> Usage(const std::string& aName) const;

  /// One HTTP call; waits for the whole answer.
  static state::Result<transport::HttpResponse> Call(
    const std::string& aAddress,
    const transport::HttpRequest& aRequest,
    std::int64_t aTimeoutMs = 5000);

  /// Address of the platform.
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
  std::vector<std::string> mCompanions;          ///< their addresses, for peers
  std::map<std::string, std::string> mAddresses; ///< of killed processes
};

/// The digest of a bearer key, as team objects hold it.
std::string
KeyDigest(const std::string& aKey);

} // namespace shuntjunction::standins
