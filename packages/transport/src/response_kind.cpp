#include "response_kind.h"

namespace shuntjunction::transport {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;

/// Whether the fields announce a body. A length of 0 announces none.
bool
AnnouncesBody(const http::response_header<>& aHead)
{
  const auto length = aHead.find(http::field::content_length);
  return aHead.count(http::field::transfer_encoding) > 0 ||
         (length != aHead.end() && length->value() != "0");
}

} // namespace

ResponseKind
ResponseKindOf(const http::response_header<>& aHead)
{
  const auto status = aHead.result_int();
  if (status >= kFirstFinalStatus) {
    return ResponseKind::kFinal;
  }
  const bool isInterim = status >= kFirstStatus &&
                         status != kSwitchingProtocols && !AnnouncesBody(aHead);
  return isInterim ? ResponseKind::kInterim : ResponseKind::kInvalid;
}

} // namespace shuntjunction::transport
