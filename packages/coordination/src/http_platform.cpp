#include "shuntjunction/coordination/http_platform.h"

#include <algorithm>

#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/request_target.h"

namespace shuntjunction::coordination {

using state::ErrorCode;
using state::Fail;
using state::JsonReader;
using state::Millis;
using state::RawObject;
using state::Result;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

namespace {

/// A value has up to one megabyte, and a list may contain many.
constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;

constexpr unsigned kOk = 200;
constexpr unsigned kCreated = 201;
constexpr unsigned kNoObject = 404;
constexpr unsigned kGone = 410;

/// Target of the calls for one object. The segments of its key are any text.
///
/// Errors: those of EncodePathSegment
Result<std::string>
TargetOf(std::string_view aKey)
{
  std::string target = "/v1/objects";
  std::size_t start = 0;
  while (start <= aKey.size()) {
    const auto end = std::min(aKey.find('/', start), aKey.size());
    const auto segment =
      transport::EncodePathSegment(aKey.substr(start, end - start));
    if (!segment) {
      return tl::unexpected(segment.error());
    }
    target += "/" + *segment;
    start = end + 1;
  }
  return target;
}

/// Target of the calls for all objects with a prefix, without its other
/// parameters.
std::string
PrefixTarget(std::string_view aPath, std::string_view aPrefix)
{
  return std::string(aPath) + "?prefix=" + transport::EncodeQueryValue(aPrefix);
}

Result<RawObject>
ReadObject(const boost::json::value& aValue)
{
  JsonReader reader(aValue, "object");
  RawObject object = state::ReadRawObject(reader);
  if (const auto done = reader.Finish(); !done) {
    return tl::unexpected(done.error());
  }
  return object;
}

std::uint64_t
ReadRevision(JsonReader& aReader)
{
  return static_cast<std::uint64_t>(aReader.Integer("revision", 0, INT64_MAX));
}

tl::unexpected<state::Error>
InvalidResponse(state::Error aError,
                std::string_view aStep,
                const std::string& aPeer)
{
  aError.mCode = ErrorCode::kProtocol;
  aError.mStep = aStep;
  aError.mPeer = aPeer;
  return tl::unexpected(std::move(aError));
}

} // namespace

HttpPlatform::HttpPlatform(const state::Address& aAddress, Millis aTimeout)
  : mClient(aAddress, kMaxResponseBytes)
  , mTimeout(aTimeout)
{
}

Task<Result<HttpResponse>>
HttpPlatform::Call(std::string_view aStep,
                   HttpRequest aRequest,
                   Millis aTimeout)
{
  const transport::CallTimeouts timeouts{
    aTimeout, mTimeout, aTimeout + transport::kMaxTransferTime
  };
  auto response = co_await mClient.Send(std::move(aRequest), timeouts);
  if (!response) {
    state::Error error = response.error();
    error.mStep = aStep;
    co_return tl::unexpected(std::move(error));
  }
  const std::string peer = mClient.Peer().Text();
  const unsigned status = response->mStatus;
  if (status == kOk || status == kCreated || status == kNoObject ||
      status == kGone) {
    co_return response;
  }
  const auto code = PlatformErrorOf(status);
  std::string text = "status " + std::to_string(status);
  if (code == ErrorCode::kConflict) {
    text = response->mBody;
  } else if (code != ErrorCode::kUnavailable) {
    text += ": " + response->mBody;
  }
  co_return Fail(code, aStep, peer, text);
}

Task<Result<ObjectList>>
HttpPlatform::List(std::string aPrefix)
{
  constexpr std::string_view kStep = "platform.list";
  HttpRequest request;
  request.mTarget = PrefixTarget("/v1/objects", aPrefix);
  const auto response = co_await Call(kStep, std::move(request), mTimeout);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  const auto value = state::ParseUntrustedJson(response->mBody, "list");
  if (!value) {
    co_return InvalidResponse(value.error(), kStep, mClient.Peer().Text());
  }
  JsonReader reader(*value, "list");
  ObjectList list;
  list.mRevision = ReadRevision(reader);
  list.mObjects = state::ReadRawObjects(reader, "objects");
  if (const auto done = reader.Finish(); !done) {
    co_return InvalidResponse(done.error(), kStep, mClient.Peer().Text());
  }
  co_return list;
}

Task<Result<std::optional<RawObject>>>
HttpPlatform::Read(std::string aKey)
{
  constexpr std::string_view kStep = "platform.read";
  auto target = TargetOf(aKey);
  if (!target) {
    co_return tl::unexpected(target.error());
  }
  HttpRequest request;
  request.mTarget = std::move(*target);
  const auto response = co_await Call(kStep, std::move(request), mTimeout);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  if (response->mStatus == kNoObject) {
    co_return std::optional<RawObject>();
  }
  const auto value = state::ParseUntrustedJson(response->mBody, "object");
  if (!value) {
    co_return InvalidResponse(value.error(), kStep, mClient.Peer().Text());
  }
  auto object = ReadObject(*value);
  if (!object) {
    co_return InvalidResponse(object.error(), kStep, mClient.Peer().Text());
  }
  co_return std::optional<RawObject>(std::move(*object));
}

Task<Result<std::uint64_t>>
HttpPlatform::Write(std::string aKey,
                    std::string aValue,
                    std::uint64_t aIfRevision)
{
  constexpr std::string_view kStep = "platform.write";
  const auto target = TargetOf(aKey);
  if (!target) {
    co_return tl::unexpected(target.error());
  }
  HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = *target + "?if_revision=" + std::to_string(aIfRevision);
  request.mContentType = "application/json";
  request.mBody = std::move(aValue);
  const auto response = co_await Call(kStep, std::move(request), mTimeout);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  const auto value = state::ParseUntrustedJson(response->mBody, "answer");
  if (!value) {
    co_return InvalidResponse(value.error(), kStep, mClient.Peer().Text());
  }
  JsonReader reader(*value, "answer");
  const std::uint64_t revision = ReadRevision(reader);
  if (const auto done = reader.Finish(); !done) {
    co_return InvalidResponse(done.error(), kStep, mClient.Peer().Text());
  }
  co_return revision;
}

Task<Result<void>>
HttpPlatform::Delete(std::string aKey, std::uint64_t aIfRevision)
{
  const auto target = TargetOf(aKey);
  if (!target) {
    co_return tl::unexpected(target.error());
  }
  HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = *target + "?if_revision=" + std::to_string(aIfRevision);
  const auto response =
    co_await Call("platform.delete", std::move(request), mTimeout);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  co_return Result<void>{};
}

Task<Result<WatchResult>>
HttpPlatform::Watch(std::string aPrefix, std::uint64_t aAfter, Millis aWait)
{
  constexpr std::string_view kStep = "platform.watch";
  HttpRequest request;
  request.mTarget = PrefixTarget("/v1/watch", aPrefix) +
                    "&after=" + std::to_string(aAfter) +
                    "&wait_ms=" + std::to_string(aWait.count());
  const auto response =
    co_await Call(kStep, std::move(request), aWait + mTimeout);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  WatchResult watch;
  if (response->mStatus == kGone) {
    watch.mIsGap = true;
    co_return watch;
  }
  const auto value = state::ParseUntrustedJson(response->mBody, "watch");
  if (!value) {
    co_return InvalidResponse(value.error(), kStep, mClient.Peer().Text());
  }
  JsonReader reader(*value, "watch");
  watch.mRevision = ReadRevision(reader);
  watch.mChanges = state::ReadRawObjects(reader, "changes");
  if (const auto done = reader.Finish(); !done) {
    co_return InvalidResponse(done.error(), kStep, mClient.Peer().Text());
  }
  co_return watch;
}

Task<Result<InstanceList>>
HttpPlatform::Instances(std::uint64_t aAfter, Millis aWait)
{
  constexpr std::string_view kStep = "platform.instances";
  HttpRequest request;
  request.mTarget = "/v1/instances?after=" + std::to_string(aAfter) +
                    "&wait_ms=" + std::to_string(aWait.count());
  const auto response =
    co_await Call(kStep, std::move(request), aWait + mTimeout);
  if (!response) {
    co_return tl::unexpected(response.error());
  }
  const auto value = state::ParseUntrustedJson(response->mBody, "instances");
  if (!value) {
    co_return InvalidResponse(value.error(), kStep, mClient.Peer().Text());
  }
  JsonReader reader(*value, "instances");
  InstanceList list;
  list.mRevision = ReadRevision(reader);
  list.mInstances = ReadInstances(reader);
  if (const auto done = reader.Finish(); !done) {
    co_return InvalidResponse(done.error(), kStep, mClient.Peer().Text());
  }
  co_return list;
}

} // namespace shuntjunction::coordination
