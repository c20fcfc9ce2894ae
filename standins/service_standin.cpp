#include "service_standin.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace shuntjunction::standins {

namespace json = boost::json;
using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

ServiceStandin::ServiceStandin(state::Millis aDelay)
  : mDelay(aDelay)
{
}

HttpResponse
ServiceStandin::Refusal(unsigned aStatus, std::string_view aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody =
    json::serialize(json::object{ { "error", json::string(aText) } });
  return response;
}

Task<void>
ServiceStandin::Handle(HttpExchange& aExchange)
{
  const auto& request = aExchange.Request();
  const std::string_view path = request.Path();
  json::object body;
  if (path == "/audit") {
    for (const auto& [key, runs] : mRuns) {
      body[key] = runs;
    }
  } else if (path == "/healthz") {
    body["ok"] = true;
  } else {
    const std::string key(request.Field("idempotency-key"));
    const std::uint64_t run = key.empty() ? 1 : ++mRuns[key];
    co_await transport::Sleep(mDelay);
    body["done"] = request.mMethod + " " + request.mTarget;
    body["echo"] = request.mBody;
    body["run"] = run;
  }
  HttpResponse response;
  response.mBody = json::serialize(body);
  co_await aExchange.Respond(std::move(response));
}

} // namespace shuntjunction::standins
