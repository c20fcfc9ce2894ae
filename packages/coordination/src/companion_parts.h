#pragma once

// Internals of Companion, shared by its source files.

#include <memory>
#include <unordered_map>

#include "shuntjunction/coordination/companion.h"
#include "shuntjunction/transport/mailbox.h"

namespace shuntjunction::coordination {

/// An event that a request's coroutine waits for.
enum class WorkEvent : std::uint8_t
{
  kAdmitted,
  kRefused,
  kCancelled,
  kCredit,
};

/// The connection of one router.
class Companion::Session
{
public:
  explicit Session(std::shared_ptr<transport::FrameChannel> aChannel)
    : mChannel(std::move(aChannel))
  {
  }

  transport::FrameChannel& Channel() { return *mChannel; }

  std::unordered_map<protocol::StreamId, WorkPtr> mWork;

private:
  std::shared_ptr<transport::FrameChannel> mChannel;
};

/// The state of one request in the companion.
struct Companion::Work
{
  Work(const boost::asio::any_io_executor& aExecutor,
       const std::shared_ptr<Session>& aSession,
       protocol::Submit aSubmit)
    : mSession(aSession)
    , mSubmit(std::move(aSubmit))
    , mMailbox(aExecutor)
    , mWindow(mSubmit.mWindow)
  {
  }

  void Send(const protocol::Message& aMessage)
  {
    if (const auto session = mSession.lock()) {
      session->Channel().Send(aMessage);
    }
  }

  std::uint64_t UnannouncedVersion(std::uint64_t aVersion)
  {
    const auto session = mSession.lock();
    return session ? session->Channel().UnannouncedVersion(aVersion) : 0;
  }

  /// Cancels the request. A non-repeatable request that the backend is already
  /// running is not aborted there.
  void Cancel()
  {
    mIsCancelled = true;
    mMailbox.Push(WorkEvent::kCancelled);
    if (!mSubmit.mIsAtMostOnce) {
      mCancel->Cancel();
    }
  }

  std::weak_ptr<Session> mSession;
  protocol::Submit mSubmit;
  state::PrefixChain mChain;
  state::AdmissionTicket mTicket;
  state::AdmissionRefusal mRefusal;
  transport::Mailbox<WorkEvent> mMailbox;
  std::int64_t mWindow; ///< number of tokens that may be sent now
  state::TimePoint mSubmittedAt;
  std::uint32_t mComputedBlocks = 0;
  state::Incarnation mIncarnation = 0; ///< of the responding engine
  std::shared_ptr<transport::CancelHandle> mCancel =
    std::make_shared<transport::CancelHandle>();
  bool mIsCancelled = false;
};

} // namespace shuntjunction::coordination
