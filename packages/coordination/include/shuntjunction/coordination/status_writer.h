#pragma once

#include <string>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/clock.h"

/// Tells operators, through the platform, what a process has in force.
namespace shuntjunction::coordination {

/// Platform prefix of status objects.
inline constexpr std::string_view kStatusPrefix = "status/";

/// Writes the process's status object, seldom and spread over time.
///
/// A change is written after a random pause, so that a change of configuration
/// does not bring the writes of all processes at once; only the newest text is
/// written.
/// Thread safety: none; lives on the control thread.
class StatusWriter
{
public:
  /// @param aPlatform  outlives the writer
  StatusWriter(boost::asio::io_context& aContext,
               Platform& aPlatform,
               const std::string& aName);

  /// Starts to write; runs until the context stops.
  void Start();

  /// Sets the text to be written.
  void Set(std::string aText);

private:
  transport::Task<void> Follow();
  transport::Task<bool> WriteOnce(std::string aText);

  boost::asio::io_context& mContext;
  Platform& mPlatform;
  std::string mKey;
  std::string mWanted;
  std::string mWritten;
  std::uint64_t mRevision = 0;
  state::RandomSource mRandom;
  transport::Timer mWake;
  Log mLog;
};

} // namespace shuntjunction::coordination
