#pragma once

// Private to the coordination package.

#include <memory>
#include <unordered_map>

#include "shuntjunction/coordination/companion.h"
#include "shuntjunction/transport/mailbox.h"

namespace shuntjunction::coordination {

/// News for a piece of work.
enum class WorkNews : std::uint8_t
{
  kAdmitted,
  kRefused,
  kCancelled,
  kCredit,
};

/// One router's connection.
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

/// One request on its way through the companion.
struct Companion::Work
{
  Work(const boost::asio::any_io_executor& aExecutor,
       const std::shared_ptr<Session>& aSession,
       protocol::Submit aSubmit)
    : mSession(aSession)
    , mSubmit(std::move(aSubmit))
    , mNews(aExecutor)
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

  /// Gives the work up; what must not be repeated is not cut at the backend.
  void Cancel()
  {
    mIsCancelled = true;
    mNews.Push(WorkNews::kCancelled);
    if (!mSubmit.mIsOnce) {
      mCancel->Cancel();
    }
  }

  std::weak_ptr<Session> mSession;
  protocol::Submit mSubmit;
  state::PrefixChain mChain;
  state::AdmissionTicket mTicket;
  state::AdmissionRefusal mRefusal;
  transport::Mailbox<WorkNews> mNews;
  std::int64_t mWindow; ///< tokens that may be sent now
  state::TimePoint mHandedOver;
  std::uint32_t mComputedBlocks = 0;
  state::Incarnation mIncarnation = 0; ///< of the engine that answers
  std::shared_ptr<transport::CancelHandle> mCancel =
    std::make_shared<transport::CancelHandle>();
  bool mIsCancelled = false;
};

} // namespace shuntjunction::coordination
