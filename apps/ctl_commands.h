#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/coordination/http_platform.h"
#include "shuntjunction/state/error.h"
#include "shuntjunction/transport/http_types.h"

/// The commands of shuntctl.
namespace shuntjunction::ctl {

/// Options and arguments given on the command line.
struct Options
{
  std::string mPlatform;
  std::string mAdmin;
  std::string mSecret;
  std::string mOutput = "table";
  std::string mFile;
  std::string mName;
  std::string mTeam;
  std::optional<std::uint64_t> mIfRevision;
  std::int64_t mWaitMs = 0;
  std::int64_t mChanges = 0;
};

/// Exit codes; the help text of shuntctl lists them.
enum class ExitCode : std::uint8_t
{
  kDone = 0,
  kUsage = 1,
  kBadInput = 2,
  kConflict = 3,
  kNoAnswer = 4,
  kNotFound = 5,
  kNotActive = 6,
};

/// Runs one command; each method returns the exit code of the program.
///
/// Thread safety: none.
class Commands
{
public:
  /// @param aOut, aErr  outlive the commands
  Commands(const Options& aOptions, std::ostream& aOut, std::ostream& aErr);

  int Apply();
  int Get();
  int Diff();
  int Delete();
  int Status();
  int Watch();
  int Adopt();
  int Drain();
  int Explain();

private:
  /// A configuration object from the input file.
  struct DeclaredObject
  {
    std::string mKey;
    std::string mValue;
  };
  using Row = std::vector<std::string>;

  /// Reads and checks the objects of the input file.
  state::Result<std::vector<DeclaredObject>> ReadDeclaredObjects() const;
  state::Result<std::optional<state::RawObject>> Read(const std::string& aKey);
  state::Result<coordination::ObjectList> List(std::string aPrefix);
  /// Writes an object if its revision is aIfRevision. After a timeout, reads
  /// the object back to find out whether the write took effect.
  state::Result<std::uint64_t> Write(const std::string& aKey,
                                     const std::string& aValue,
                                     std::uint64_t aIfRevision);
  state::Result<std::vector<boost::json::object>> ReadStatuses();
  /// Sends an authorized request to the admin interface of a process.
  state::Result<transport::HttpResponse> SendAdminRequest(
    transport::HttpRequest aRequest);
  /// Names of the live instances that have not reported a configuration
  /// revision of at least aRevision; leaving instances are skipped.
  state::Result<std::vector<std::string>> OutdatedInstances(
    std::uint64_t aRevision);
  /// Writes an object unless the platform has an equal one; raises
  /// aMaxRevision to its revision.
  int ApplyObject(const DeclaredObject& aDeclared, std::uint64_t& aMaxRevision);
  /// Waits until every live instance reports the revision, at most mWaitMs.
  int AwaitActivation(std::uint64_t aRevision);
  /// Prints an error; returns the exit code for it.
  int ReportError(const state::Error& aError);
  int ReportConflict(const std::string& aKey, std::uint64_t aExpected);
  /// Prints a table, or a JSON array of objects with aHeader as keys.
  void PrintTable(const Row& aHeader, const std::vector<Row>& aRows);
  bool IsJson() const { return mOptions.mOutput == "json"; }

  Options mOptions;
  std::ostream& mOut;
  std::ostream& mErr;
  boost::asio::io_context mContext{ 1 }; ///< outlives the connections
  coordination::HttpPlatform mPlatform;
};

} // namespace shuntjunction::ctl
