#include "shuntjunction/transport/connect.h"

#include <memory>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace shuntjunction::transport {

using tcp = asio::ip::tcp;

namespace {

void
SetIntOption(tcp::socket& aSocket, int aLevel, int aName, int aValue)
{
  // Where the option is missing, the system default applies: a dead peer is
  // detected later.
  static_cast<void>(::setsockopt(
    aSocket.native_handle(), aLevel, aName, &aValue, sizeof(aValue)));
}

} // namespace

state::Result<tcp::endpoint>
ToTcpEndpoint(const state::Address& aAddress, std::string_view aStep)
{
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(aAddress.mHost, error);
  if (error) {
    return state::Fail(state::ErrorCode::kInvalidArgument,
                       aStep,
                       aAddress.Text(),
                       "not a numeric IP address");
  }
  return tcp::endpoint(ip, aAddress.mPort);
}

void
SetDeadPeerTimeouts(tcp::socket& aSocket, const DeadPeerTimeouts& aLimits)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetIntOption(aSocket,
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               static_cast<int>(aLimits.mUserTimeout.count()));
  SetIntOption(
    aSocket, IPPROTO_TCP, TCP_KEEPIDLE, aLimits.mKeepAliveIdleSeconds);
  SetIntOption(
    aSocket, IPPROTO_TCP, TCP_KEEPINTVL, aLimits.mKeepAliveIntervalSeconds);
  SetIntOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, aLimits.mKeepAliveProbes);
}

Task<ConnectResult>
ConnectSocket(tcp::endpoint aEndpoint, state::Millis aTimeout)
{
  const auto executor = co_await asio::this_coro::executor;
  // Shared, since the handler of an expired timer may still run after this
  // coroutine has ended.
  const auto socket = std::make_shared<tcp::socket>(executor);
  Timer timer(executor, aTimeout);
  timer.async_wait([socket](const auto& aError) {
    if (!aError) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
  });
  const auto [error] = co_await socket->async_connect(aEndpoint, kAsTuple);
  const bool isTimedOut = timer.cancel() == 0;
  if (isTimedOut) {
    co_return tl::unexpected(boost::system::error_code(asio::error::timed_out));
  }
  if (error) {
    co_return tl::unexpected(error);
  }
  SetDeadPeerTimeouts(*socket, DeadPeerTimeouts{});
  co_return std::move(*socket);
}

} // namespace shuntjunction::transport
