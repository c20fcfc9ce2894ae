#include "platform_standin.h"

#include <algorithm>

#include <boost/json/array.hpp>

#include "chance.h"
#include "json_reply.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/request_target.h"

namespace shuntjunction::standins {

namespace json = boost::json;
using state::Millis;
using transport::HttpExchange;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr std::string_view kObjects = "/v1/objects";
constexpr std::string_view kInstances = "/v1/instances";
constexpr Millis kWatchPollInterval{ 10 };
constexpr Millis kHangPollInterval{ 50 };
constexpr std::size_t kMaxChanges = 20000;
constexpr std::size_t kMaxValueBytes = 1024UL * 1024;

/// Decoded path of a target.
std::string
PathOf(const transport::RequestTarget& aTarget)
{
  std::string path;
  for (const auto& segment : aTarget.mSegments) {
    path += "/" + segment;
  }
  return path;
}

json::object
ObjectJson(const std::string& aKey,
           std::uint64_t aRevision,
           const std::string& aValue)
{
  return { { "key", aKey }, { "revision", aRevision }, { "value", aValue } };
}

} // namespace

PlatformStandin::PlatformStandin(std::uint64_t aSeed)
  : mRandom(aSeed)
{
}

bool
PlatformStandin::Chance(double aShare)
{
  return standins::Chance(mRandom, aShare);
}

HttpResponse
PlatformStandin::Refusal(unsigned aStatus, std::string_view aText)
{
  return Reply(aStatus, json::object{ { "error", json::string(aText) } });
}

Task<void>
PlatformStandin::Handle(HttpExchange& aExchange)
{
  co_await Serve(aExchange, false);
}

Task<void>
PlatformStandin::WaitWhileCut(bool aIsSecondary)
{
  while (aIsSecondary && mFaults.mIsSecondaryCut) {
    co_await transport::Sleep(kHangPollInterval);
  }
}

Task<void>
PlatformStandin::Serve(HttpExchange& aExchange, bool aIsSecondary)
{
  co_await WaitWhileCut(aIsSecondary);
  const HttpRequest& request = aExchange.Request();
  const std::string_view path = request.Path();
  const bool isControl =
    path == "/faults" || path == "/counts" || path == "/restore";
  if (!isControl) {
    while (mFaults.mIsHung) {
      co_await transport::Sleep(kHangPollInterval);
    }
    if (mFaults.mSlowMs > 0) {
      co_await transport::Sleep(Millis(mFaults.mSlowMs));
    }
    if (mFaults.mIsDown) {
      ++mCounts["refused"];
      co_await aExchange.Respond(Refusal(503, "down"));
      co_return;
    }
  }
  const bool isWrite =
    !isControl && (request.mMethod == "PUT" || request.mMethod == "DELETE");
  if (isWrite && Chance(mFaults.mLostWrites)) {
    aExchange.Abort();
    co_return;
  }
  auto response = co_await Dispatch(request);
  co_await WaitWhileCut(aIsSecondary);
  if (isWrite && Chance(mFaults.mLostResponses)) {
    aExchange.Abort();
    co_return;
  }
  co_await aExchange.Respond(std::move(response));
}

Task<HttpResponse>
PlatformStandin::Dispatch(const HttpRequest& aRequest)
{
  const auto target = transport::ParseRequestTarget(aRequest.mTarget);
  if (!target) {
    ++mCounts["invalid"];
    co_return Refusal(400, "invalid target");
  }
  const std::string path = PathOf(*target);
  const bool isGet = aRequest.mMethod == "GET";
  if (path == kObjects && isGet) {
    ++mCounts["list"];
    co_return ListObjects(aRequest);
  }
  if (path.starts_with(kObjects) && path.size() > kObjects.size() + 1) {
    const std::string key = path.substr(kObjects.size() + 1);
    ++mCounts[isGet ? "read" : "write"];
    co_return isGet ? ReadObject(key) : WriteObject(aRequest, key);
  }
  if (path == "/v1/watch" && isGet) {
    ++mCounts["watch"];
    co_return co_await WatchObjects(aRequest);
  }
  if (path == kInstances && isGet) {
    ++mCounts["instances"];
    co_return co_await ListInstances(aRequest);
  }
  if (path.starts_with(kInstances) && path.size() > kInstances.size() + 1) {
    co_return ChangeInstance(aRequest);
  }
  if (path.starts_with("/v1/weights/") && isGet) {
    ++mCounts["weights"];
    co_return FetchWeights();
  }
  if (path == "/faults") {
    co_return SetFaults(aRequest);
  }
  if (path == "/restore") {
    co_return Restore(aRequest);
  }
  if (path == "/counts") {
    json::object counts;
    for (const auto& [name, count] : mCounts) {
      counts[name] = count;
    }
    co_return Reply(200, counts);
  }
  co_return Refusal(404, "no such path");
}

PlatformStandin::Objects
PlatformStandin::ObjectsAt(std::uint64_t aRevision) const
{
  Objects objects;
  for (const auto& change : mChanges) {
    if (change.mRevision > aRevision) {
      break;
    }
    if (change.mValue.empty()) {
      objects.erase(change.mKey);
    } else {
      objects[change.mKey] = { change.mRevision, change.mValue };
    }
  }
  return objects;
}

HttpResponse
PlatformStandin::ListObjects(const HttpRequest& aRequest)
{
  const std::string prefix = aRequest.Query("prefix");
  const bool isStale = mFaults.mStaleBy > 0;
  const std::uint64_t revision =
    mRevision - std::min(mRevision, mFaults.mStaleBy);
  const Objects older = isStale ? ObjectsAt(revision) : Objects();
  const Objects& objects = isStale ? older : mObjects;
  json::array list;
  for (auto at = objects.lower_bound(prefix);
       at != objects.end() && at->first.starts_with(prefix);
       ++at) {
    list.push_back(
      ObjectJson(at->first, at->second.mRevision, at->second.mValue));
  }
  return Reply(
    200,
    json::object{ { "revision", revision }, { "objects", std::move(list) } });
}

HttpResponse
PlatformStandin::ReadObject(const std::string& aKey)
{
  const auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    return Refusal(404, "no such object");
  }
  return Reply(200,
               ObjectJson(aKey, found->second.mRevision, found->second.mValue));
}

HttpResponse
PlatformStandin::WriteObject(const HttpRequest& aRequest,
                             const std::string& aKey)
{
  const auto found = mObjects.find(aKey);
  const std::uint64_t current =
    found == mObjects.end() ? 0 : found->second.mRevision;
  if (current != NumberOf<std::uint64_t>(aRequest.Query("if_revision"), 0)) {
    return Reply(409, json::object{ { "revision", current } });
  }
  const bool isDelete = aRequest.mMethod == "DELETE";
  if (!isDelete &&
      (aRequest.mBody.empty() || aRequest.mBody.size() > kMaxValueBytes)) {
    return Refusal(400, "a value holds 1 byte to a megabyte");
  }
  ++mRevision;
  if (isDelete) {
    mObjects.erase(aKey);
  } else {
    mObjects[aKey] = { mRevision, aRequest.mBody };
  }
  mChanges.push_back({ mRevision, aKey, isDelete ? "" : aRequest.mBody });
  if (mChanges.size() > kMaxChanges) {
    mChanges.pop_front();
  }
  return Reply(200, json::object{ { "revision", mRevision } });
}

Task<HttpResponse>
PlatformStandin::WatchObjects(const HttpRequest& aRequest)
{
  const std::string prefix = aRequest.Query("prefix");
  const auto after = NumberOf<std::uint64_t>(aRequest.Query("after"), 0);
  const auto until =
    state::BootClock::now() +
    Millis(NumberOf<std::uint64_t>(aRequest.Query("wait_ms"), 0));
  if (!mChanges.empty() && after + 1 < mChanges.front().mRevision) {
    co_return Refusal(410, "changes are forgotten");
  }
  // A caller ahead of the platform gets the current revision at once.
  const bool isFuture = after > mRevision;
  const std::uint64_t restores = mRestoreCount;
  while (true) {
    // Only the newest change of each object is returned.
    std::map<std::string, const Change*> newest;
    const auto first =
      std::upper_bound(mChanges.begin(),
                       mChanges.end(),
                       after,
                       [](std::uint64_t aAfter, const Change& aChange) {
                         return aAfter < aChange.mRevision;
                       });
    for (auto at = first; at != mChanges.end(); ++at) {
      if (at->mKey.starts_with(prefix)) {
        newest[at->mKey] = &*at;
      }
    }
    const bool isTimedOut = state::BootClock::now() >= until;
    const bool mustReturn =
      isTimedOut || isFuture || mFaults.mIsDown || restores != mRestoreCount;
    if (!newest.empty() || mustReturn) {
      json::array changes;
      for (const auto& [key, change] : newest) {
        changes.push_back(ObjectJson(key, change->mRevision, change->mValue));
      }
      co_return Reply(200,
                      json::object{ { "revision", mRevision },
                                    { "changes", std::move(changes) } });
    }
    co_await transport::Sleep(kWatchPollInterval);
  }
}

Task<HttpResponse>
PlatformStandin::ListInstances(const HttpRequest& aRequest)
{
  const auto after = NumberOf<std::uint64_t>(aRequest.Query("after"), 0);
  const auto until =
    state::BootClock::now() +
    Millis(NumberOf<std::uint64_t>(aRequest.Query("wait_ms"), 0));
  while (mInstancesRevision <= after && state::BootClock::now() < until) {
    co_await transport::Sleep(kWatchPollInterval);
  }
  json::array list;
  for (const auto& [name, text] : mInstances) {
    if (auto value = state::ParseJson(text, name)) {
      list.push_back(std::move(*value));
    }
  }
  co_return Reply(200,
                  json::object{ { "revision", mInstancesRevision },
                                { "instances", std::move(list) } });
}

HttpResponse
PlatformStandin::ChangeInstance(const HttpRequest& aRequest)
{
  const std::string name(aRequest.Path().substr(kInstances.size() + 1));
  if (aRequest.mMethod == "DELETE") {
    mInstances.erase(name);
  } else {
    mInstances[name] = aRequest.mBody;
  }
  ++mInstancesRevision;
  return Reply(200, json::object{ { "revision", mInstancesRevision } });
}

HttpResponse
PlatformStandin::FetchWeights()
{
  if (mFaults.mWeightsPerSecond > 0) {
    const auto now = state::BootClock::now();
    const std::chrono::duration<double> passed = now - mWeightsAt;
    const auto rate = static_cast<double>(mFaults.mWeightsPerSecond);
    mWeightTokens = std::min(rate, mWeightTokens + passed.count() * rate);
    mWeightsAt = now;
    if (mWeightTokens < 1.0) {
      return Refusal(429, "the weight store is busy");
    }
    mWeightTokens -= 1.0;
  }
  return Reply(200, json::object{ { "bytes", 1 } });
}

HttpResponse
PlatformStandin::SetFaults(const HttpRequest& aRequest)
{
  const auto value = state::ParseJson(aRequest.mBody, "faults");
  if (!value) {
    return Refusal(400, value.error().mText);
  }
  state::JsonReader reader(*value, "faults");
  PlatformFaults faults;
  faults.mIsDown = reader.Flag("down", false);
  faults.mIsHung = reader.Flag("hung", false);
  faults.mIsSecondaryCut = reader.Flag("farCut", false);
  faults.mSlowMs = reader.Integer("slowMs", 0, 60000, 0);
  faults.mLostResponses = reader.Number("lostAnswers", 0, 1, 0);
  faults.mLostWrites = reader.Number("lostWrites", 0, 1, 0);
  faults.mStaleBy =
    static_cast<std::uint64_t>(reader.Integer("staleBy", 0, 1000000, 0));
  faults.mWeightsPerSecond = reader.Integer("weightsPerSecond", 0, 1000000, 0);
  if (const auto done = reader.Finish(); !done) {
    return Refusal(400, done.error().mText);
  }
  mFaults = faults;
  return Reply(200, json::object());
}

HttpResponse
PlatformStandin::Restore(const HttpRequest& aRequest)
{
  const auto revision = NumberOf<std::uint64_t>(aRequest.Query("revision"), 0);
  mObjects = ObjectsAt(revision);
  std::erase_if(mChanges, [&](const Change& aChange) {
    return aChange.mRevision > revision;
  });
  mRevision = std::min(mRevision, revision);
  ++mRestoreCount;
  return Reply(200, json::object{ { "revision", mRevision } });
}

Task<void>
SecondaryAddress::Handle(HttpExchange& aExchange)
{
  co_await mPlatform.Serve(aExchange, true);
}

HttpResponse
SecondaryAddress::Refusal(unsigned aStatus, std::string_view aText)
{
  return mPlatform.Refusal(aStatus, aText);
}

} // namespace shuntjunction::standins
