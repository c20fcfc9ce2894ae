#include <array>
#include <cstdio>
#include <utility>

#include <boost/asio/write.hpp>

#include "relay_run.h"

// The part of a run that answers the caller itself, and writes to it.

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

constexpr unsigned kTooMany = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kTimedOut = 504;

} // namespace

Task<void>
RelayRun::AnswerFailure()
{
  if (mInterrupt == RunInterrupt::kCallerGone) {
    mKeepsConnection = false;
    LogOutcome("caller-gone", mLastProblem);
    co_return;
  }
  const bool isLate = mInterrupt == RunInterrupt::kDeadline ||
                      mInterrupt == RunInterrupt::kStopping;
  std::string reason =
    mInterrupt == RunInterrupt::kDeadline ? "deadline" : mLastProblem;
  const auto quarantine = QuarantineLeft();
  if (quarantine > Millis(0)) {
    reason = kQuarantinedReason;
    mRetryAfter = quarantine;
  }
  if (mIsHeadForwarded) {
    CloseCallerConnection();
    LogOutcome("cut", reason);
    co_return;
  }
  if (!mSavedFailure.empty()) {
    // No other endpoint did better: return the saved failure of the first.
    mAnswerStatus = mSavedFailureStatus;
    co_await WriteToCaller(std::exchange(mSavedFailure, {}));
    LogOutcome("answered", mLastProblem);
    co_return;
  }
  if (!mMayHaveRun) {
    co_await Refuse(
      mIsOverLimit ? kTooMany : kUnavailable, reason, mRetryAfter);
  } else if (isLate) {
    co_await Refuse(kTimedOut, reason);
  } else {
    co_await Refuse(kBadGateway, reason);
  }
}

Task<void>
RelayRun::Refuse(unsigned aStatus,
                 std::string_view aReason,
                 std::optional<Millis> aRetryAfter)
{
  const std::string body = R"({"error":{"message":"not served: )" +
                           std::string(aReason) + R"("}})" + "\n";
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " " +
                     std::string(aReason) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n";
  mCore->mDependencies.mCodec.AppendRequestId(mCall.mRequestId, text);
  if (aRetryAfter) {
    constexpr double kMillisPerSecond = 1000.0;
    std::array<char, 16> seconds{};
    std::snprintf(seconds.data(),
                  seconds.size(),
                  "%.3f",
                  static_cast<double>(aRetryAfter->count()) / kMillisPerSecond);
    text += std::string("Retry-After: ") + seconds.data() + "\r\n";
  }
  AppendConnectionField(text);
  text += "\r\n";
  if (mRequest->mMethod != "HEAD") {
    text += body;
  }
  mAnswerStatus = aStatus;
  co_await WriteToCaller(std::move(text));
  LogOutcome("refused", aReason);
}

void
RelayRun::AppendConnectionField(std::string& aHeader)
{
  mIsCloseAnnounced = !mKeepsConnection || mCore->mIsStopping;
  if (mIsCloseAnnounced) {
    aHeader += "Connection: close\r\n";
  }
}

void
RelayRun::CloseCallerConnection()
{
  mKeepsConnection = false;
  mIsAnswerCut = true;
  mCaller.Close(true);
}

Task<bool>
RelayRun::WriteToCaller(std::string aBytes)
{
  if (mCaller.IsClosed()) {
    mKeepsConnection = false;
    co_return false;
  }
  const auto [error, bytes] = co_await boost::asio::async_write(
    mCaller.Socket(), boost::asio::buffer(aBytes), transport::kAsTuple);
  if (error) {
    mKeepsConnection = false;
    Interrupt(RunInterrupt::kCallerGone);
    co_return false;
  }
  co_return true;
}

} // namespace shuntjunction::coordination
