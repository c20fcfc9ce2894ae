#include "relay_session.h"

#include <algorithm>

#include <boost/asio/write.hpp>

#include "relay_run.h"
#include "shuntjunction/transport/lingering_close.h"

namespace shuntjunction::coordination {

using state::TimePoint;
using transport::ParseStatus;
using transport::RelayRequest;
using transport::RelayRequestReader;
using transport::Task;

namespace {

constexpr unsigned kTooSlow = 408;
constexpr unsigned kUnavailable = 503;

} // namespace

RelaySession::RelaySession(std::shared_ptr<Relay::Core> aCore,
                           AcceptedCaller aCaller)
  : mCore(std::move(aCore))
  , mReader(
      std::make_shared<transport::SocketReader>(std::move(aCaller.mSocket),
                                                mCore->mLimits.mReadAhead))
  , mMemory(std::move(aCaller.mMemory))
  , mAcceptedAt(mCore->mDependencies.mClock.Now())
{
  mCore->mSessions.insert(this);
}

RelaySession::~RelaySession()
{
  mCore->mSessions.erase(this);
  Close();
  mCore->mAcceptor->NoteClosed();
}

Task<void>
RelaySession::Run()
{
  const auto self = shared_from_this();
  mReader->Start();
  while (co_await ServeOne()) {
  }
  if (mEnd == SessionEnd::kRefused && !mReader->IsClosed()) {
    mMemory.Resize(mCore->mLimits.mBytesPerSession);
    co_await transport::CloseLingering(mReader, transport::LingerLimits{});
  }
  Close();
}

void
RelaySession::Close()
{
  if (std::exchange(mIsClosed, true)) {
    return;
  }
  const auto unread = mReader->UnreadBytes();
  mReader->Close(false);
  const bool isUnanswered =
    mEnd == SessionEnd::kCut || (unread > 0 && mEnd != SessionEnd::kByCaller);
  if (!isUnanswered) {
    return;
  }
  auto& dependencies = mCore->mDependencies;
  const auto name = kSessionEndNames.Name(mEnd);
  const auto now = dependencies.mClock.Now();
  const auto since = [now](TimePoint aThen) {
    return std::chrono::duration_cast<state::Millis>(now - aThen).count();
  };
  dependencies.mMetrics.Count("shuntjunction_relay_unanswered_closes_total",
                              { { "reason", std::string(name) } });
  dependencies.mLog.Write(EventLine(kRelayComponent, "caller-closed")
                            .Add("reason", name)
                            .Add("requests", mRequests)
                            .Add("unread_bytes", unread)
                            .Add("accepted_ms", since(mAcceptedAt))
                            .Add("stopping", mCore->mIsStopping));
}

void
RelaySession::CloseIfIdle()
{
  // What the kernel holds is the beginning of a request.
  if (mIsIdle && mReader->UnreadBytes() == 0) {
    mReader->Close(false);
  }
}

void
RelaySession::EndRequest(bool aOnlyUnsent)
{
  if (mRun == nullptr) {
    return;
  }
  if (aOnlyUnsent) {
    mRun->EndIfUnsent();
  } else {
    mRun->EndForStop();
  }
}

Task<bool>
RelaySession::ServeOne()
{
  const auto request = co_await ReadRequest();
  if (!request) {
    co_return false;
  }
  ++mRequests;
  ++mCore->mActive;
  mCore->mBodyBytes += request->mBody.size();
  const auto bytes = request->mBody.size();
  RelayRun run(mCore, *mReader, request, mCore->mDependencies.mClock.Now());
  mRun = &run;
  const bool keepsConnection = co_await run.Run();
  mRun = nullptr;
  mEnd = run.IsAnswerCut() ? SessionEnd::kCut : SessionEnd::kAnswered;
  mCore->mBodyBytes -= bytes;
  --mCore->mActive;
  mIsIdle = true;
  mMemory.Resize(mCore->mLimits.mBytesPerSession);
  if (keepsConnection) {
    mEnd = SessionEnd::kIdle;
  }
  co_return keepsConnection;
}

Task<bool>
RelaySession::AwaitRequest()
{
  const auto& clock = mCore->mDependencies.mClock;
  const auto since = clock.Now();
  while (mReader->Buffered().empty()) {
    const auto& limits = mCore->mView->mConfig->Rules().mLimits;
    const auto until = since + limits.mIdleTimeout;
    if (mReader->IsClosed()) {
      mEnd = SessionEnd::kByCaller;
      co_return false;
    }
    if (clock.Now() >= until) {
      co_return false;
    }
    co_await mReader->Wait(until);
  }
  mIsIdle = false;
  co_return true;
}

Task<std::shared_ptr<RelayRequest>>
RelaySession::ReadRequest()
{
  if (!co_await AwaitRequest()) {
    co_return nullptr;
  }
  // They may have changed while the connection was idle.
  const auto limits = mCore->mView->mConfig->Rules().mLimits;
  RelayRequestReader reader(limits.mHeaderBytes, limits.mBodyBytes);
  const bool isComplete = co_await ReadFullRequest(reader, limits);
  if (!isComplete) {
    co_return nullptr;
  }
  co_return std::make_shared<RelayRequest>(reader.Take());
}

Task<bool>
RelaySession::ReadFullRequest(RelayRequestReader& aRequest,
                              const state::CallerLimits& aLimits)
{
  const auto& clock = mCore->mDependencies.mClock;
  const TimePoint until = clock.Now() + aLimits.mHeaderTimeout;
  bool isContinued = false;
  while (true) {
    const auto bytes = mReader->Buffered();
    if (!bytes.empty()) {
      std::size_t consumed = 0;
      const auto step = aRequest.Put(bytes, consumed);
      mReader->Consume(consumed);
      if (step == ParseStatus::kMalformed) {
        co_await RefuseUnread(aRequest.RefusalStatus(), aRequest.Problem());
        co_return false;
      }
      if (!ReserveForBody(aRequest.BodyBytes())) {
        mCore->mAcceptor->NoteNeed(MemoryNeeded(aRequest.BodyBytes()));
        co_await RefuseUnread(kUnavailable, "no memory for the body");
        co_return false;
      }
      if (step == ParseStatus::kDone) {
        mCore->mAcceptor->NoteNeed(MemoryNeeded(aRequest.BodyBytes()));
        mMemory.Resize(MemoryNeeded(aRequest.BodyBytes()));
        co_return true;
      }
      if (aRequest.ExpectsContinue() && !std::exchange(isContinued, true)) {
        co_await Write("HTTP/1.1 100 Continue\r\n\r\n");
        // Bytes that arrived meanwhile are buffered, and woke no reader.
        continue;
      }
    }
    if (mReader->IsClosed()) {
      mEnd = SessionEnd::kByCaller;
      co_return false;
    }
    if (clock.Now() >= until) {
      co_await RefuseUnread(kTooSlow, "the request took too long to arrive");
      co_return false;
    }
    co_await mReader->Wait(until);
  }
}

bool
RelaySession::ReserveForBody(std::size_t aBodyBytes)
{
  // Keeps what was reserved until the whole size is known.
  return mMemory.Resize(std::max(mMemory.Bytes(), MemoryNeeded(aBodyBytes)));
}

std::int64_t
RelaySession::MemoryNeeded(std::size_t aBodyBytes) const
{
  // Twice: while it arrives a part of it is also in the read-ahead buffer, and
  // a body of unknown length is moved as it grows.
  const auto& limits = mCore->mLimits;
  const auto needed =
    limits.mSessionBytes + 2 * static_cast<std::int64_t>(aBodyBytes);
  return std::max(limits.mBytesPerSession, needed);
}

Task<void>
RelaySession::RefuseUnread(unsigned aStatus, std::string_view aProblem)
{
  mEnd = SessionEnd::kRefused;
  mCore->mDependencies.mLog.Write(EventLine(kRelayComponent, "unread")
                                    .Add("status", aStatus)
                                    .Add("problem", aProblem));
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) +
                     " refused\r\nContent-Length: 0\r\nConnection: close\r\n";
  if (aStatus == kUnavailable) {
    text += "Retry-After: 0.2\r\n";
  }
  text += "\r\n";
  co_await Write(std::move(text));
}

Task<void>
RelaySession::Write(std::string aText)
{
  // A disconnected caller is detected by the reads.
  co_await boost::asio::async_write(
    mReader->Socket(), boost::asio::buffer(aText), transport::kAsTuple);
}

} // namespace shuntjunction::coordination
