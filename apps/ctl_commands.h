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

/// What the command line said.
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

/// Exit codes, as the help text tells them.
enum class ExitCode : std::uint8_t
{
  kDone = 0,
  kUsage = 1,
  kBadInput = 2,
  kConflict = 3,
  kNoAnswer = 4,
  kNotFound = 5,
  kNotInForce = 6,
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
  /// An object that a file declares.
  struct Declared
  {
    std::string mKey;
    std::string mValue;
  };
  using Row = std::vector<std::string>;

  state::Result<std::vector<Declared>> ReadDeclared() const;
  state::Result<std::optional<state::RawObject>> Read(const std::string& aKey);
  state::Result<coordination::ObjectList> List(std::string aPrefix);
  state::Result<std::uint64_t> Write(const std::string& aKey,
                                     const std::string& aValue,
                                     std::uint64_t aIfRevision);
  state::Result<std::vector<boost::json::object>> Statuses();
  state::Result<transport::HttpResponse> Ask(transport::HttpRequest aRequest);
  state::Result<std::vector<std::string>> NotInForce(std::uint64_t aRevision);
  int ApplyOne(const Declared& aDeclared, std::uint64_t& aHighest);
  int AwaitInForce(std::uint64_t aRevision);
  int Fail(const state::Error& aError);
  int Conflict(const std::string& aKey, std::uint64_t aExpected);
  void Print(const Row& aHead, const std::vector<Row>& aRows);
  bool IsJson() const { return mOptions.mOutput == "json"; }

  Options mOptions;
  std::ostream& mOut;
  std::ostream& mErr;
  boost::asio::io_context mContext{ 1 }; ///< outlives the connections
  coordination::HttpPlatform mPlatform;
};

} // namespace shuntjunction::ctl
