// Snapshots from peers: from the watchers of the zone in a large fleet, from
// any peer of the settings while the platform is down.

#include <algorithm>

#include "shuntjunction/coordination/config_feed.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/http_client.h"

namespace shuntjunction::coordination {

using state::MergeOutcome;
using state::Millis;
using transport::Task;

namespace {

constexpr std::size_t kMaxPeersQueried = 3;

} // namespace

bool
ConfigFeed::IsWatcher() const
{
  return state::IsWatcher(
    *mInstances, mSettings.mName, mSettings.mZone, mSettings.mWatchers);
}

Task<bool>
ConfigFeed::QuerySnapshot(SnapshotClient& aClient, std::string aAddress)
{
  protocol::SnapshotRequest have;
  have.mKnownVersion =
    mNeedsFullSnapshot ? 0 : std::max(Version().Packed(), mRefusedVersion);
  have.mKnownInstances = mInstancesRevision;
  // While a configuration is in force, other peers are queried in time instead.
  const auto maxTime =
    have.mKnownVersion == 0 ? transport::kMaxTransferTime : Millis(0);
  const auto reply = co_await aClient.QuerySnapshot(aAddress, have, maxTime);
  if (!reply) {
    mLog.Debug("no snapshot received: " + reply.error().Describe() + ".");
    co_return false;
  }
  mNeedsFullSnapshot = false;
  ApplyPeerSnapshot(*reply, aAddress);
  // A snapshot that turned out to be older is not requested again and again.
  if (!mNeedsFullSnapshot && reply->mVersion > Version().Packed()) {
    mRefusedVersion = reply->mVersion;
  }
  co_return true;
}

Task<bool>
ConfigFeed::QueryWatchers()
{
  ++mCounters.mWatcherQueries;
  auto watchers = state::SelectWatchers(
    *mInstances, mSettings.mZone, mSettings.mWatchers.mPerZone);
  std::shuffle(watchers.begin(), watchers.end(), mRandom);
  for (const auto& watcher : watchers) {
    if (co_await QuerySnapshot(mPeers, watcher.mAddress)) {
      co_return true;
    }
  }
  ++mCounters.mUnansweredRounds;
  co_return false;
}

Task<void>
ConfigFeed::FollowCompanions()
{
  while (true) {
    co_await PauseBetweenQueries();
    if (mHasWatchers) {
      continue;
    }
    const auto peers =
      state::SelectPeers(*mInstances, mSettings.mName, kMaxPeersQueried);
    if (!peers.empty()) {
      std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
      co_await QuerySnapshot(mCompanions, peers[any(mRandom)].mAddress);
    }
  }
}

Task<void>
ConfigFeed::QueryPeers()
{
  auto peers = mSettings.mPeers;
  std::shuffle(peers.begin(), peers.end(), mRandom);
  peers.resize(std::min(peers.size(), kMaxPeersQueried));
  for (const auto& peer : peers) {
    co_await QuerySnapshot(mPeers, peer);
  }
}

void
ConfigFeed::ApplyPeerSnapshot(const protocol::SnapshotReply& aReply,
                              const std::string& aPeer)
{
  const bool hasNewInstances = ApplyPeerInstances(aReply.mInstances, aPeer);
  const bool hasNewConfig = ApplyPeerConfig(aReply.mText, aPeer);
  if (hasNewInstances || hasNewConfig) {
    Publish();
  }
}

bool
ConfigFeed::ApplyPeerConfig(const std::string& aText, const std::string& aPeer)
{
  if (aText.empty()) {
    return false;
  }
  const auto outcome = mStore.ApplyPeer(aText, aPeer);
  if (!outcome) {
    const bool isUnfit = outcome.error().mCode == state::ErrorCode::kConflict;
    mNeedsFullSnapshot = mNeedsFullSnapshot || isUnfit;
    mLog.Warn("a snapshot from " + aPeer +
              " was rejected: " + outcome.error().Describe() + ".");
    return false;
  }
  if (*outcome != MergeOutcome::kApplied) {
    return false;
  }
  ++mCounters.mFromPeers;
  mLog.Info("applied a snapshot from " + aPeer + ".");
  LogActiveConfig();
  return true;
}

bool
ConfigFeed::ApplyPeerInstances(const std::string& aText,
                               const std::string& aPeer)
{
  if (aText.empty()) {
    return false;
  }
  const auto refuse = [&](const state::Error& aError) {
    mLog.Warn("the instances from " + aPeer +
              " were rejected: " + aError.Describe() + ".");
    return false;
  };
  const auto value = state::ParseUntrustedJson(aText, "instances");
  if (!value) {
    return refuse(value.error());
  }
  state::JsonReader reader(*value, "instances");
  const auto revision =
    static_cast<std::uint64_t>(reader.Integer("revision", 0, INT64_MAX));
  auto instances = ReadInstances(reader);
  if (const auto done = reader.Finish(); !done) {
    return refuse(done.error());
  }
  if (revision <= mInstancesRevision) {
    return false;
  }
  mInstancesRevision = revision;
  mInstances = std::make_shared<const std::vector<state::InstanceInfo>>(
    std::move(instances));
  return true;
}

} // namespace shuntjunction::coordination
