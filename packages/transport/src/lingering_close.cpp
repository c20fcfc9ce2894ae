#include "shuntjunction/transport/lingering_close.h"

namespace shuntjunction::transport {

Task<void>
CloseLingering(std::shared_ptr<SocketReader> aReader, LingerLimits aLimits)
{
  boost::system::error_code ignored;
  aReader->Socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const auto until = state::BootClock::now() + aLimits.mTime;
  std::size_t discarded = 0;
  while (!aReader->IsClosed() && discarded < aLimits.mBytes &&
         state::BootClock::now() < until) {
    const auto bytes = aReader->Buffered().size();
    if (bytes == 0) {
      co_await aReader->Wait(until);
    }
    aReader->Consume(bytes);
    discarded += bytes;
  }
  aReader->Close(false);
}

} // namespace shuntjunction::transport
