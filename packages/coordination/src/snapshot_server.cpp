#include "shuntjunction/coordination/snapshot_server.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::FrameChannel;
using transport::Task;
namespace asio = transport::asio;

namespace {

/// Pause after a failed accept, which would fail again at once.
constexpr Millis kAcceptPause{ 100 };

} // namespace

struct SnapshotServer::Shared : std::enable_shared_from_this<Shared>
{
  Shared(asio::io_context& aContext,
         transport::ChannelIdentity aIdentity,
         EventLog& aLog,
         Answerer aAnswer)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
    , mLog(aLog)
    , mAnswer(std::move(aAnswer))
  {
  }

  Task<void> Accept(std::shared_ptr<asio::ip::tcp::acceptor> aAcceptor)
  {
    const auto self = shared_from_this();
    while (aAcceptor->is_open()) {
      auto [error, socket] =
        co_await aAcceptor->async_accept(transport::kAsTuple);
      if (error) {
        co_await transport::Sleep(kAcceptPause);
        continue;
      }
      const auto peer =
        std::make_shared<FrameChannel>(std::move(socket), "asker", mCounters);
      transport::Spawn(mContext, Serve(peer));
    }
  }

  Task<void> Serve(std::shared_ptr<FrameChannel> aChannel)
  {
    const auto self = shared_from_this();
    const auto proved = co_await aChannel->HandshakeAsAcceptor(mIdentity);
    if (!proved) {
      mLog.Write(EventLine("watch", "asker-refused")
                   .Add("error", proved.error().Describe()));
      co_return;
    }
    while (true) {
      const auto message = co_await aChannel->Receive();
      const auto* request =
        message ? std::get_if<protocol::SnapshotRequest>(&*message) : nullptr;
      if (request == nullptr) {
        break;
      }
      aChannel->Send(mAnswer(*request));
    }
    aChannel->Close();
  }

  asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  EventLog& mLog;
  Answerer mAnswer;
  transport::ChannelCounters mCounters;
};

SnapshotServer::SnapshotServer(asio::io_context& aContext,
                               transport::ChannelIdentity aIdentity,
                               EventLog& aLog,
                               Answerer aAnswer)
  : mShared(std::make_shared<Shared>(aContext,
                                     std::move(aIdentity),
                                     aLog,
                                     std::move(aAnswer)))
{
}

Result<state::Address>
SnapshotServer::Start(const state::Address& aAddress)
{
  auto acceptor = transport::Listen(mShared->mContext, aAddress);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  transport::Spawn(mShared->mContext, mShared->Accept(*acceptor));
  return transport::LocalAddress(**acceptor);
}

} // namespace shuntjunction::coordination
