#include "relay_endpoint.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "shuntjunction/state/prefix_chain.h"
#include "shuntjunction/state/settings.h"

namespace shuntjunction::coordination {

using state::EndpointInfo;
using state::IncarnationUpdate;
using state::Millis;
using state::TimePoint;

namespace {

constexpr std::string_view kTimeoutPrefix = "timeout=";

/// The whole seconds in a Keep-Alive field; empty when there are none.
std::optional<Millis>
KeepAliveLimit(std::string_view aValue)
{
  const auto at = aValue.find(kTimeoutPrefix);
  const auto digits = at == std::string_view::npos
                        ? aValue
                        : aValue.substr(at + kTimeoutPrefix.size());
  int seconds = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

} // namespace

Unavailability
RelayEndpoint::UnavailabilityAt(TimePoint aNow, bool aIsUrgent) const
{
  const auto cooldownEnd = mAvailability->RequestedCooldownEnd();
  const auto permitAt = mRate ? mRate->PermitAt(aIsUrgent) : TimePoint::min();
  if (aNow < cooldownEnd && cooldownEnd >= permitAt) {
    return { state::Obstacle::kCooldown, cooldownEnd };
  }
  return mRate ? Unavailability{ state::Obstacle::kNoPermit, permitAt }
               : Unavailability{};
}

void
RelayEndpoint::CloseIdle()
{
  // A reader that is only released stays open until its peer closes.
  for (const auto& connection : mIdle) {
    connection.mReader->Close(false);
  }
  mIdle.clear();
}

RelayEndpoints::RelayEndpoints(const RelayEndpointSettings& aSettings)
  : mSettings(aSettings)
{
}

EndpointChanges
RelayEndpoints::Update(const std::vector<EndpointInfo>& aListed, TimePoint aNow)
{
  EndpointChanges changes;
  std::set<std::string_view> listed;
  for (const auto& info : aListed) {
    listed.insert(info.mId);
    auto& entry = mById[info.mId];
    if (!entry) {
      entry = std::make_shared<RelayEndpoint>();
      entry->mNameHash = state::PlacementHash(info.mId);
      entry->mAvailability =
        mAvailabilities.Find(info.mId, info.mEndpointIncarnation);
    }
    const auto update =
      entry->mEndpointIncarnation.Take(info.mEndpointIncarnation, aNow);
    if (update == IncarnationUpdate::kNewer) {
      changes.mRestarted.push_back(BeginIncarnation(entry));
    }
    const bool wasLeaving = entry->mInfo.mIsLeaving;
    if (info.mIsLeaving && !wasLeaving) {
      changes.mLeaving.push_back(entry);
    }
    if (update == IncarnationUpdate::kFormer) {
      // Its companion reported a later incarnation than the list: see
      // EndpointDirectory.
      ++mStaleReports;
      entry->mInfo.mIsLeaving = wasLeaving || info.mIsLeaving;
    } else {
      entry->mInfo = info;
    }
    entry->mAvailability->SetListing(true, entry->mInfo.mIsLeaving);
    if (!entry->AcceptsWork()) {
      entry->CloseIdle();
    }
  }
  std::erase_if(mById, [&](const auto& aItem) {
    const bool isGone = !listed.contains(aItem.first);
    if (isGone) {
      if (!aItem.second->mInfo.mIsLeaving) {
        changes.mLeaving.push_back(aItem.second);
      }
      aItem.second->CloseIdle();
      mAvailabilities.NoteRemoved(aItem.first);
      mParts.Forget(aItem.first);
    }
    return isGone;
  });
  return changes;
}

RelayEndpointPtr
RelayEndpoints::BeginIncarnation(RelayEndpointPtr& aEntry)
{
  const auto former = std::exchange(aEntry, std::make_shared<RelayEndpoint>());
  aEntry->mInfo = former->mInfo;
  aEntry->mEndpointIncarnation = former->mEndpointIncarnation;
  aEntry->mNameHash = former->mNameHash;
  aEntry->mBrokenRequests = std::move(former->mBrokenRequests);
  aEntry->mAvailability = mAvailabilities.Begin(
    former->mInfo.mId, former->mEndpointIncarnation.Current());
  aEntry->mAvailability->SetListing(true, aEntry->mInfo.mIsLeaving);
  former->mHasCrashed = true;
  CloseConnections(*former);
  mParts.Forget(former->mInfo.mId);
  return aEntry;
}

std::vector<RelayEndpointPtr>
RelayEndpoints::Serving(std::string_view aService) const
{
  std::vector<RelayEndpointPtr> serving;
  for (const auto& [id, endpoint] : mById) {
    if (endpoint->mInfo.mService == aService && endpoint->AcceptsWork()) {
      serving.push_back(endpoint);
    }
  }
  return serving;
}

std::vector<RelayEndpointPtr>
RelayEndpoints::Listed(std::string_view aService) const
{
  std::vector<RelayEndpointPtr> listed;
  for (const auto& [id, endpoint] : mById) {
    if (endpoint->mInfo.mService == aService) {
      listed.push_back(endpoint);
    }
  }
  return listed;
}

std::size_t
RelayEndpoints::CountObstacles(state::Obstacle aObstacle, TimePoint aNow) const
{
  return static_cast<std::size_t>(
    std::count_if(mById.begin(), mById.end(), [&](const auto& aItem) {
      return aItem.second->mAvailability->ObstacleAt(aNow) == aObstacle;
    }));
}

RelayEndpointPtr
RelayEndpoints::Find(std::string_view aId) const
{
  const auto found = mById.find(aId);
  return found == mById.end() ? nullptr : found->second;
}

RelayEndpointPtr
RelayEndpoints::FindIncarnation(state::LimitHash aHash) const
{
  for (const auto& [id, endpoint] : mById) {
    if (state::HashOfIncarnation(
          id, endpoint->mEndpointIncarnation.Current()) == aHash) {
      return endpoint;
    }
  }
  return nullptr;
}

std::vector<RelayEndpointPtr>
RelayEndpoints::Limited() const
{
  std::vector<RelayEndpointPtr> limited;
  for (const auto& [id, endpoint] : mById) {
    if (endpoint->mRate) {
      limited.push_back(endpoint);
    }
  }
  return limited;
}

EndpointConnection
RelayEndpoints::TakeIdle(RelayEndpoint& aEndpoint,
                         Millis aMaxIdle,
                         TimePoint aNow)
{
  while (!aEndpoint.mIdle.empty()) {
    auto connection = std::move(aEndpoint.mIdle.back());
    aEndpoint.mIdle.pop_back();
    const auto idle = aNow - connection.mIdleSince;
    const bool isSound =
      !connection.mReader->IsClosed() && connection.mReader->Buffered().empty();
    if (isSound && idle < std::min(aMaxIdle, connection.mIdleLimit)) {
      return connection;
    }
    connection.mReader->Close(false);
  }
  return {};
}

void
RelayEndpoints::PutIdle(RelayEndpoint& aEndpoint,
                        EndpointConnection aConnection,
                        std::string_view aKeepAlive,
                        TimePoint aNow)
{
  if (!aEndpoint.AcceptsWork()) {
    aConnection.mReader->Close(false);
    return;
  }
  auto limit = mSettings.mIdleLimit;
  if (const auto named = KeepAliveLimit(aKeepAlive)) {
    limit = Millis(static_cast<std::int64_t>(
      static_cast<double>(named->count()) * mSettings.mIdleShare));
  }
  aConnection.mIdleSince = aNow;
  aConnection.mIdleLimit = limit;
  aEndpoint.mIdle.push_back(std::move(aConnection));
}

bool
RelayEndpoints::CloseLongestIdle()
{
  RelayEndpoint* oldest = nullptr;
  for (auto& [id, endpoint] : mById) {
    const bool hasIdle = !endpoint->mIdle.empty();
    if (hasIdle && (oldest == nullptr || endpoint->mIdle.front().mIdleSince <
                                           oldest->mIdle.front().mIdleSince)) {
      oldest = endpoint.get();
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->mIdle.front().mReader->Close(false);
  oldest->mIdle.erase(oldest->mIdle.begin());
  return true;
}

void
RelayEndpoints::CloseStale(TimePoint aNow)
{
  for (auto& [id, endpoint] : mById) {
    std::erase_if(endpoint->mIdle, [&](const auto& aConnection) {
      const bool isStale =
        aConnection.mReader->IsClosed() ||
        !aConnection.mReader->Buffered().empty() ||
        aNow - aConnection.mIdleSince >= aConnection.mIdleLimit;
      if (isStale) {
        aConnection.mReader->Close(false);
      }
      return isStale;
    });
  }
}

RelayEndpointPtr
RelayEndpoints::ApplyNews(const protocol::EngineNews& aNews, TimePoint aNow)
{
  const auto found = mById.find(aNews.mEndpoint);
  if (found == mById.end() && !aNews.mModel.empty()) {
    // The report is from an engine that is not listed, or not any more.
    return nullptr;
  }
  RelayEndpointPtr restarted;
  if (found != mById.end()) {
    const auto update = found->second->mEndpointIncarnation.Take(
      aNews.mEndpointIncarnation, aNow);
    if (update == IncarnationUpdate::kFormer) {
      ++mStaleReports;
      return nullptr;
    }
    if (update == IncarnationUpdate::kNewer) {
      restarted = BeginIncarnation(found->second);
    }
    ApplyState(*found->second, aNews, aNow);
  }
  mParts.Apply(aNews.mEndpoint,
               aNews.mIsFullSnapshot,
               aNews.mAddedParts,
               aNews.mRemovedParts);
  return restarted;
}

void
RelayEndpoints::ApplyState(RelayEndpoint& aEndpoint,
                           const protocol::EngineNews& aNews,
                           TimePoint aNow)
{
  aEndpoint.mNews = aNews;
  aEndpoint.mNews->mAddedParts.clear();
  aEndpoint.mNews->mRemovedParts.clear();
  aEndpoint.mNewsAt = aNow;
  aEndpoint.mIsNewsConnectionEnded = false;
  aEndpoint.mUnsettledCharges.Clear();
}

void
RelayEndpoints::CloseConnections(RelayEndpoint& aEndpoint)
{
  aEndpoint.CloseIdle();
  const auto busy = std::exchange(aEndpoint.mBusy, {});
  for (const auto& connection : busy) {
    connection->Close(true);
  }
}

const protocol::EngineNews*
RelayEndpoints::FreshNews(const RelayEndpoint& aEndpoint, TimePoint aNow) const
{
  const bool isFresh = aEndpoint.mNews && aEndpoint.mNews->mWeights != 0 &&
                       aNow - aEndpoint.mNewsAt < mSettings.mNewsLimit;
  return isFresh ? &*aEndpoint.mNews : nullptr;
}

std::vector<RelayEndpointPtr>
RelayEndpoints::OnHost(std::string_view aHost) const
{
  std::vector<RelayEndpointPtr> endpoints;
  for (const auto& [id, endpoint] : mById) {
    const std::string_view address = endpoint->mInfo.mAddress;
    if (address.substr(0, address.rfind(':')) == aHost) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

void
RelayEndpoints::NoteNewsConnectionEnded(std::string_view aHost)
{
  for (const auto& endpoint : OnHost(aHost)) {
    endpoint->mIsNewsConnectionEnded = true;
  }
}

void
RelayEndpoints::ForgetNews(std::string_view aHost)
{
  for (const auto& endpoint : OnHost(aHost)) {
    endpoint->mNews.reset();
    endpoint->mIsNewsConnectionEnded = false;
    mParts.Forget(endpoint->mInfo.mId);
  }
}

state::LivenessSignals
RelayEndpoints::SignalsOf(const RelayEndpoint& aEndpoint, TimePoint aNow)
{
  const auto since = [&](TimePoint aThen) {
    return std::chrono::duration_cast<Millis>(aNow - aThen);
  };
  return { aEndpoint.mNews.has_value(),      since(aEndpoint.mNewsAt),
           aEndpoint.mIsNewsConnectionEnded, aEndpoint.IsReportedDown(),
           aEndpoint.mRunning > 0,           since(aEndpoint.mLastBytesAt) };
}

bool
RelayEndpoints::IsSilent(const RelayEndpoint& aEndpoint, TimePoint aNow) const
{
  return state::IsSilent(SignalsOf(aEndpoint, aNow), mSettings.mSilence);
}

bool
RelayEndpoints::HasStopped(const RelayEndpoint& aEndpoint, TimePoint aNow) const
{
  return state::HasStopped(SignalsOf(aEndpoint, aNow), mSettings.mSilence);
}

void
RelayEndpoints::WakeRequestsAtStopped(TimePoint aNow)
{
  for (const auto& [id, endpoint] : mById) {
    endpoint->mUnsettledCharges.Expire(aNow);
    if (endpoint->mBusy.empty() || !HasStopped(*endpoint, aNow)) {
      continue;
    }
    for (const auto& connection : endpoint->mBusy) {
      connection->Wake();
    }
  }
}

void
RelayEndpoints::NoteFailure(RelayEndpoint& aEndpoint, TimePoint aNow)
{
  if (++aEndpoint.mFailures < mSettings.mFailuresToSuspect) {
    return;
  }
  aEndpoint.mSuspectPause = std::clamp(aEndpoint.mSuspectPause * 2,
                                       mSettings.mFirstSuspectPause,
                                       mSettings.mMaxSuspectPause);
  aEndpoint.mSuspectUntil = aNow + aEndpoint.mSuspectPause;
}

void
RelayEndpoints::NoteSuccess(RelayEndpoint& aEndpoint)
{
  aEndpoint.mFailures = 0;
  aEndpoint.mHasCrashed = false;
  aEndpoint.mSuspectPause = Millis(0);
}

} // namespace shuntjunction::coordination
