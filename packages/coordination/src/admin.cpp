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
Plain(unsigned aStatus, std::string_view aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mContentType = "text/plain; charset=utf-8";
  response.mBody = std::string(aText) + "\n";
  return response;
}

HttpResponse
Json(std::string aText)
{
  HttpResponse response;
  response.mBody = std::move(aText);
  return response;
}

} // namespace

Admin::Admin(AdminDependencies aParts)
  : mParts(std::move(aParts))
{
}

HttpResponse
Admin::Refusal(unsigned aStatus, std::string_view aText)
{
  return Plain(aStatus, aText);
}

bool
Admin::IsReady() const
{
  if (mParts.mIsStopping()) {
    return false;
  }
  return mParts.mRouter != nullptr ? mParts.mRouter->IsReady()
                                   : mParts.mCompanion->IsReady();
}

Task<void>
Admin::Handle(HttpExchange& aExchange)
{
  auto response = co_await Answer(aExchange.Request());
  co_await aExchange.Respond(std::move(response));
}

Task<HttpResponse>
Admin::Answer(const HttpRequest& aRequest)
{
  const std::string_view path = aRequest.Path();
  if (path == "/healthz") {
    co_return Plain(200, "ok");
  }
  if (path == "/readyz") {
    const bool isReady = IsReady();
    co_return Plain(isReady ? 200 : 503, isReady ? "ready" : "not ready");
  }
  if (path == "/metrics") {
    if (mParts.mRouter != nullptr) {
      mParts.mRouter->UpdateGauges();
    } else {
      mParts.mCompanion->UpdateGauges();
    }
    HttpResponse response = Plain(200, mParts.mMetrics.Expose());
    response.mContentType = "text/plain; version=0.0.4";
    co_return response;
  }
  const auto field = aRequest.Field("authorization");
  const bool isKnown =
    field.starts_with(kBearer) &&
    state::EqualDigests(state::Sha256Hex(field.substr(kBearer.size())),
                        state::Sha256Hex(mParts.mSettings.mSecret));
  if (!isKnown) {
    co_return Plain(401, "the shared secret is required as a bearer key");
  }
  if (path == "/status" && aRequest.mMethod == "GET") {
    co_return Json(mParts.mStatus());
  }
  if (path == "/drain" && aRequest.mMethod == "POST") {
    mParts.mStop();
    co_return Plain(202, "draining");
  }
  if (path == "/explain" && aRequest.mMethod == "POST" &&
      mParts.mRouter != nullptr) {
    auto response = co_await AnswerExplain(aRequest);
    co_return response;
  }
  co_return Plain(404, "no such path or method");
}

Task<HttpResponse>
Admin::AnswerExplain(const HttpRequest& aRequest)
{
  const auto kind = aRequest.Query("kind") == "completion"
                      ? state::RequestKind::kCompletion
                      : state::RequestKind::kChat;
  const std::string team = aRequest.Query("team");
  const auto rows =
    co_await mParts.mRouter->Explain(team, kind, aRequest.mBody);
  if (!rows) {
    co_return Plain(400, rows.error().Describe());
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
  co_return Json(
    json::serialize(json::object{ { "endpoints", std::move(list) } }));
}

} // namespace shuntjunction::coordination
