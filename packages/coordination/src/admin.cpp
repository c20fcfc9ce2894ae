#include "shuntjunction/coordination/admin.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/digest.h"

namespace shuntjunction::coordination {

namespace json = boost::json;
using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr std::string_view kBearer = "Bearer ";

HttpResponse
PlainResponse(unsigned aStatus, std::string_view aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain; charset=utf-8";
  response.mBody = std::string(aText) + "\n";
  return response;
}

HttpResponse
JsonResponse(std::string aText)
{
  HttpResponse response;
  response.mBody = std::move(aText);
  return response;
}

} // namespace

Admin::Admin(AdminDependencies aDependencies)
  : mDependencies(std::move(aDependencies))
{
}

HttpResponse
Admin::Refusal(unsigned aStatus, std::string_view aText)
{
  return PlainResponse(aStatus, aText);
}

bool
Admin::IsReady() const
{
  if (mDependencies.mIsStopping()) {
    return false;
  }
  return mDependencies.mRouter != nullptr ? mDependencies.mRouter->IsReady()
                                          : mDependencies.mCompanion->IsReady();
}

Task<void>
Admin::Handle(HttpExchange& aExchange)
{
  auto response = co_await Route(aExchange.Request());
  co_await aExchange.Respond(std::move(response));
}

Task<HttpResponse>
Admin::Route(const HttpRequest& aRequest)
{
  const std::string_view path = aRequest.Path();
  if (path == "/healthz") {
    co_return PlainResponse(200, "ok");
  }
  if (path == "/readyz") {
    const bool isReady = IsReady();
    co_return PlainResponse(isReady ? 200 : 503,
                            isReady ? "ready" : "not ready");
  }
  if (path == "/metrics") {
    if (mDependencies.mRouter != nullptr) {
      mDependencies.mRouter->UpdateGauges();
    } else {
      mDependencies.mCompanion->UpdateGauges();
    }
    HttpResponse response = PlainResponse(200, mDependencies.mMetrics.Expose());
    response.mContentType = "text/plain; version=0.0.4";
    co_return response;
  }
  const auto field = aRequest.Field("authorization");
  const bool isAuthorized =
    field.starts_with(kBearer) &&
    state::EqualDigests(state::Sha256Hex(field.substr(kBearer.size())),
                        state::Sha256Hex(mDependencies.mSettings.mSecret));
  if (!isAuthorized) {
    co_return PlainResponse(401,
                            "the shared secret is required as a bearer key");
  }
  if (path == "/status" && aRequest.mMethod == "GET") {
    co_return JsonResponse(mDependencies.mStatus());
  }
  if (path == "/drain" && aRequest.mMethod == "POST") {
    mDependencies.mStop();
    co_return PlainResponse(202, "draining");
  }
  if (path == "/explain" && aRequest.mMethod == "POST" &&
      mDependencies.mRouter != nullptr) {
    auto response = co_await HandleExplain(aRequest);
    co_return response;
  }
  co_return PlainResponse(404, "no such path or method");
}

Task<HttpResponse>
Admin::HandleExplain(const HttpRequest& aRequest)
{
  const auto kind = aRequest.Query("kind") == "completion"
                      ? state::RequestKind::kCompletion
                      : state::RequestKind::kChat;
  const std::string team = aRequest.Query("team");
  const auto rows =
    co_await mDependencies.mRouter->Explain(team, kind, aRequest.mBody);
  if (!rows) {
    co_return PlainResponse(400, rows.error().Describe());
  }
  json::array list;
  for (const auto& row : *rows) {
    list.push_back(json::object{ { "endpoint", row.mEndpoint },
                                 { "zone", row.mZone },
                                 { "health", row.mHealth },
                                 { "candidate", row.mIsCandidate },
                                 { "replied", row.mHasReplied },
                                 { "chosen", row.mIsChosen },
                                 { "cachedBlocks", row.mCachedBlocks },
                                 { "waitMicros", row.mWaitMicros },
                                 { "costMicros", row.mCostMicros } });
  }
  co_return JsonResponse(
    json::serialize(json::object{ { "endpoints", std::move(list) } }));
}

} // namespace shuntjunction::coordination
