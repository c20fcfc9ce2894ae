// Checks of every request before it is sent anywhere: the team's key and limit,
// the header fields, the body.

#include <algorithm>
#include <charconv>

#include "request_run.h"
#include "shuntjunction/state/digest.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::Repeatability;
using state::RequestKind;
using state::Result;
using state::RunState;
using transport::HttpExchange;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr Millis kMaxDeadline{ 3600 * 1000 };
constexpr std::size_t kMaxKeyBytes = 256;

ApiError
BadRequest(unsigned aStatus, std::string_view aCode, std::string aText)
{
  ApiError error;
  error.mStatus = aStatus;
  error.mType =
    aStatus == 401 ? "authentication_error" : "invalid_request_error";
  error.mCode = aCode;
  error.mMessage = std::move(aText);
  error.mRunState = state::kRunStateNames.Name(RunState::kNotRun);
  return error;
}

bool
IsTrue(std::string_view aValue)
{
  return aValue == "1" || aValue == "true" || aValue == "yes";
}

/// Methods that HTTP defines as safe to repeat.
bool
IsIdempotent(std::string_view aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" ||
         aMethod == "DELETE" || aMethod == "OPTIONS";
}

/// A caller's time limit; empty when it states none, zero when it is malformed.
std::optional<Millis>
ReadTimeLimit(const transport::HttpRequest& aRequest)
{
  const auto read = [](std::string_view aText) {
    std::int64_t number = 0;
    const auto [end, error] =
      std::from_chars(aText.data(), aText.data() + aText.size(), number);
    const bool isWhole = end == aText.data() + aText.size();
    return error == std::errc() && isWhole && number > 0 ? number : 0;
  };
  const auto millis = aRequest.Field("x-request-timeout-ms");
  if (!millis.empty()) {
    return std::min(kMaxDeadline, Millis(read(millis)));
  }
  const auto seconds = aRequest.Field("x-stainless-timeout");
  if (!seconds.empty() && read(seconds) > 0) {
    constexpr auto kMaxSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(kMaxDeadline);
    return std::min(kMaxSeconds, std::chrono::seconds(read(seconds)));
  }
  return std::nullopt;
}

} // namespace

RequestRun::RequestRun(Router& aRouter, HttpExchange& aExchange)
  : mRouter(aRouter)
  , mExchange(aExchange)
  , mConfig(aRouter.mConfig)
  , mArrived(aRouter.mClock.Now())
{
  const auto given = aExchange.Request().Field("x-request-id");
  mRequestId = given.empty() || given.size() > kMaxKeyBytes
                 ? state::RandomNonce()
                 : std::string(given);
}

std::optional<ApiError>
RequestRun::Admit()
{
  const auto field = mExchange.Request().Field("authorization");
  if (!field.starts_with(kBearer)) {
    return BadRequest(401, "missing_key", "a bearer key is required");
  }
  const auto digest = state::Sha256Hex(field.substr(kBearer.size()));
  mTeam = mConfig.mSnapshot->TeamByKeyDigest(digest);
  if (mTeam == nullptr) {
    return BadRequest(401, "invalid_key", "the key is not known");
  }
  const Millis wait = mRouter.mLimiter.Take(
    mTeam->mName, mTeam->mLimit, mRouter.mRouters, mArrived);
  if (wait > Millis(0)) {
    mRouter.mMetrics.Count("shuntjunction_limited_total",
                           { { "team", mTeam->mName } });
    ApiError error =
      BadRequest(429, "rate_limited", "the team is over its limit");
    error.mType = "rate_limit_error";
    error.mRetryAfterMs = static_cast<std::uint32_t>(wait.count());
    return error;
  }
  return ReadFields();
}

std::optional<ApiError>
RequestRun::ReadFields()
{
  const auto& request = mExchange.Request();
  mSubmit.mRequestId = mRequestId;
  mSubmit.mTeam = mTeam->mName;
  mSubmit.mWindow =
    static_cast<std::uint32_t>(mRouter.mSettings.mLimits.mStreamWindow);
  mSubmit.mKey = std::string(request.Field("idempotency-key"));
  if (mSubmit.mKey.size() > kMaxKeyBytes) {
    return BadRequest(400,
                      "invalid_header",
                      "'Idempotency-Key' is longer than " +
                        std::to_string(kMaxKeyBytes) + " characters");
  }
  mIsNotRepeatable = IsTrue(request.Field("x-not-repeatable"));
  const auto name = request.Field("x-template");
  if (!name.empty()) {
    const auto found = mConfig.mSnapshot->mTemplates.find(std::string(name));
    if (found == mConfig.mSnapshot->mTemplates.end()) {
      return BadRequest(
        400, "unknown_template", "'X-Template' names no template");
    }
    mSubmit.mPriority = found->second.mUrgency;
    mIsNotRepeatable = mIsNotRepeatable || !found->second.mIsRepeatable;
  }
  const auto priority = request.Field("priority");
  if (!priority.empty()) {
    const auto read = ReadPriorityField(priority);
    if (!read) {
      return BadRequest(
        400, "invalid_header", "'Priority' must hold u=0 to u=7 (RFC 9218)");
    }
    mSubmit.mPriority = *read;
  }
  const auto limit = ReadTimeLimit(request);
  if (limit && *limit == Millis(0)) {
    return BadRequest(400,
                      "invalid_header",
                      "'X-Request-Timeout-Ms' must be a whole number above 0");
  }
  mDeadline =
    mArrived + limit.value_or(mRouter.mSettings.mRouter.mDefaultDeadline);
  if (mIsNotRepeatable && mSubmit.mKey.empty()) {
    // Nothing else identifies the request; a caller that sends it again wants a
    // new run.
    mSubmit.mKey = state::RandomNonce();
  }
  mSubmit.mIsAtMostOnce = mIsNotRepeatable;
  return std::nullopt;
}

Task<void>
RequestRun::RunModelCall(RequestKind aKind)
{
  auto refusal = Admit();
  Result<ChatCall> call = ReadChatCall(aKind, mExchange.Request().mBody);
  if (!refusal && !call) {
    refusal = BadRequest(400, "invalid_body", call.error().mText);
  }
  if (!refusal && !mConfig.mSnapshot->mModels.contains(call->mModel)) {
    refusal = BadRequest(404,
                         "model_not_found",
                         "the model '" + call->mModel + "' does not exist");
  }
  if (refusal) {
    co_await mExchange.Respond(ErrorResponse(*refusal, mRequestId));
    co_return;
  }
  ResponseMetadata head;
  head.mKind = aKind;
  head.mId = mRequestId;
  head.mModel = call->mModel;
  head.mCreated = mRouter.mClock.WallMillis() / 1000;
  mSink = call->mIsStream ? MakeStreamSink(mExchange, head, call->mWantsUsage)
                          : MakeBufferedSink(mExchange, head);
  mSubmit.mKind = aKind;
  mSubmit.mServedName = call->mModel;
  mSubmit.mIsStream = call->mIsStream;
  mSubmit.mMethod = "POST";
  mSubmit.mTarget = std::string(mExchange.Request().Path());
  mSubmit.mContentType = "application/json";
  mSubmit.mBody = mExchange.Request().mBody;
  mChain = state::BuildPrefixChain(
    { mTeam->mName, call->mModel, mRouter.WeightsOf(call->mModel) },
    call->mLevels);
  mLifecycle = std::make_unique<state::RequestLifecycle>(
    mIsNotRepeatable ? Repeatability::kClaimed : Repeatability::kRepeatable);
  co_await Serve();
}

Task<void>
RequestRun::RunServiceCall(std::string_view aPath)
{
  const auto& request = mExchange.Request();
  const std::size_t slash = aPath.find('/');
  const std::string name(aPath.substr(0, slash));
  auto refusal = Admit();
  const auto service = mConfig.mSnapshot->mServices.find(name);
  if (!refusal && service == mConfig.mSnapshot->mServices.end()) {
    refusal = BadRequest(
      404, "service_not_found", "the service '" + name + "' does not exist");
  }
  if (refusal) {
    co_await mExchange.Respond(ErrorResponse(*refusal, mRequestId));
    co_return;
  }
  if (request.Field("priority").empty() &&
      request.Field("x-template").empty()) {
    mSubmit.mPriority = service->second.mUrgency;
  }
  mSink = MakeServiceSink(mExchange, mRequestId);
  mSubmit.mKind = RequestKind::kService;
  mSubmit.mServedName = name;
  mSubmit.mMethod = request.mMethod;
  const std::size_t at = request.mTarget.find(name) + name.size();
  mSubmit.mTarget = request.mTarget.substr(at);
  if (mSubmit.mTarget.empty() || mSubmit.mTarget.front() != '/') {
    mSubmit.mTarget.insert(0, "/");
  }
  mSubmit.mContentType = request.mContentType;
  mSubmit.mBody = request.mBody;
  auto repeatability = Repeatability::kClaimed;
  if (!mIsNotRepeatable) {
    repeatability = IsIdempotent(request.mMethod) ? Repeatability::kRepeatable
                                                  : Repeatability::kUnclaimed;
  }
  mLifecycle = std::make_unique<state::RequestLifecycle>(repeatability);
  co_await Serve();
}

Task<void>
RequestRun::RunModelList()
{
  if (const auto refusal = Admit()) {
    co_await mExchange.Respond(ErrorResponse(*refusal, mRequestId));
    co_return;
  }
  std::vector<std::string> models;
  for (const auto& [name, model] : mConfig.mSnapshot->mModels) {
    models.push_back(name);
  }
  std::sort(models.begin(), models.end());
  HttpResponse response;
  response.mBody = WriteModels(models);
  co_await mExchange.Respond(std::move(response));
}

Task<void>
RequestRun::RunUnknownPath()
{
  co_await mExchange.Respond(ErrorResponse(
    BadRequest(404, "unknown_path", "no such path or method"), mRequestId));
}

} // namespace shuntjunction::coordination
