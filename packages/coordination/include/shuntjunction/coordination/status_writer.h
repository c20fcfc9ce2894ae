#pragma once

#include <string>

#include "shuntjunction/coordination/log.h"
#include "shuntjunction/coordination/platform.h"
#include "shuntjunction/state/clock.h"

/// Publishes a process's status in the platform, for operators.
namespace shuntjunction::coordination {

/// Key prefix of status objects in the platform.
inline constexpr std::string_view kStatusPrefix = "status/";

/// Writes the process's status object when it has changed.
///
/// Each write is delayed by a random pause, so that a configuration change does
/// not cause all processes to write at once. Only the newest text is written.
/// Thread safety: none; used on the control thread.
class StatusWriter
{
public:
  /// @param aPlatform  outlives the writer
  StatusWriter(boost::asio::io_context& aContext,
               Platform& aPlatform,
               const std::string& aName);

  /// Starts writing; runs until the context stops.
  void Start();

  /// Sets the text to write.
  void Set(std::string aText);

private:
  transport::Task<void> RunLoop();
  transport::Task<bool> WriteOnce(std::string aText);

  boost::asio::io_context& mContext;
  Platform& mPlatform;
  std::string mKey;
  std::string mLatest;
  std::string mWritten;
  std::uint64_t mRevision = 0;
  state::RandomSource mRandom;
  transport::Timer mWake;
  Log mLog;
};

} // namespace shuntjunction::coordination
