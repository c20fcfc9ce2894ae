#include "shuntjunction/coordination/snapshot_server.h"

namespace shuntjunction::coordination {

using state::Result;
using transport::FrameChannel;
using transport::Task;
namespace asio = transport::asio;

struct SnapshotServer::Shared : std::enable_shared_from_this<Shared>
{
  Shared(asio::io_context& aContext,
         transport::ChannelIdentity aIdentity,
         EventLog& aLog,
         RequestHandler aHandler)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
    , mLog(aLog)
    , mHandler(std::move(aHandler))
  {
  }

  Task<void> Serve(std::shared_ptr<FrameChannel> aChannel)
  {
    const auto self = shared_from_this();
    const auto authenticated =
      co_await aChannel->HandshakeAsAcceptor(mIdentity);
    if (!authenticated) {
      mLog.Write(EventLine("watch", "asker-refused")
                   .Add("error", authenticated.error().Describe()));
      co_return;
    }
    while (true) {
      const auto message = co_await aChannel->Receive();
      const auto* request =
        message ? std::get_if<protocol::SnapshotRequest>(&*message) : nullptr;
      if (request == nullptr) {
        break;
      }
      aChannel->Send(mHandler(*request));
    }
    aChannel->Close();
  }

  asio::io_context& mContext;
  transport::ChannelIdentity mIdentity;
  EventLog& mLog;
  RequestHandler mHandler;
  transport::ChannelCounters mCounters;
};

SnapshotServer::SnapshotServer(asio::io_context& aContext,
                               transport::ChannelIdentity aIdentity,
                               EventLog& aLog,
                               RequestHandler aHandler)
  : mShared(std::make_shared<Shared>(aContext,
                                     std::move(aIdentity),
                                     aLog,
                                     std::move(aHandler)))
{
}

Result<state::Address>
SnapshotServer::Start(const state::Address& aAddress)
{
  auto acceptor = transport::Listen(mShared->mContext, aAddress);
  if (!acceptor) {
    return tl::unexpected(acceptor.error());
  }
  transport::Spawn(
    mShared->mContext,
    transport::AcceptLoop(*acceptor, [shared = mShared](auto aSocket) {
      const auto peer = std::make_shared<FrameChannel>(
        std::move(aSocket), "asker", shared->mCounters);
      transport::Spawn(shared->mContext, shared->Serve(peer));
    }));
  return transport::LocalAddress(**acceptor);
}

} // namespace shuntjunction::coordination
