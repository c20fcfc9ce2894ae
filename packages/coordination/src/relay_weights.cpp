#include "relay_weights.h"

#include <algorithm>

#include "shuntjunction/state/zone_watchers.h"

namespace shuntjunction::coordination {

using state::Millis;
using state::TimePoint;
using state::WeightsHistory;
using transport::Task;

namespace {

/// Companions that are asked in each round.
constexpr std::size_t kHostsPerRound = 3;

/// Interval between two rounds.
constexpr Millis kRoundInterval{ 150 };

/// Rounds after which no companion is asked about a version any more. They pass
/// the questions on to other relays, whose replies they have in a later round.
constexpr int kMaxRounds = 6;

/// Time for which requests wait for an answer: a relay that has just started
/// has no connection yet.
constexpr Millis kPendingTime{ 500 };

/// Hosts of the companions that are asked, in order.
std::vector<std::string>
HostsToAsk(const std::vector<state::EndpointInfo>& aEndpoints,
           const std::map<std::string, std::string>& aZoneByHost,
           const std::string& aOwnZone)
{
  const auto watchers = state::SelectZoneWatchers(aEndpoints, aOwnZone, {});
  std::vector<std::string> hosts;
  hosts.reserve(watchers.size());
  for (const auto& engine : watchers) {
    hosts.push_back(state::ParseAddress(engine)->mHost);
  }
  const auto append = [&](bool aIsOwnZone) {
    for (const auto& [host, zone] : aZoneByHost) {
      const bool isListed =
        std::find(hosts.begin(), hosts.end(), host) != hosts.end();
      if (!isListed && (zone == aOwnZone) == aIsOwnZone) {
        hosts.push_back(host);
      }
    }
  };
  append(true);
  if (hosts.empty()) {
    append(false);
  }
  return hosts;
}

} // namespace

struct RelayWeights::Shared : std::enable_shared_from_this<Shared>
{
  /// One model's versions.
  struct ModelState
  {
    WeightsHistory mHistory;
    std::uint64_t mAskedVersion = 0; ///< newest version of the rounds
    TimePoint mAskedAt;              ///< when they began
    int mRounds = 0;
  };

  Shared(const RelayDependencies& aDependencies, Millis aMargin)
    : mDependencies(aDependencies)
    , mMargin(aMargin)
  {
  }

  TimePoint Now() const { return mDependencies.mClock.Now(); }

  Millis Limit() const
  {
    return mDependencies.mSettings.mBounds.mOldWeightsDeadline - mMargin;
  }

  bool IsOutdated(const WeightsHistory& aHistory,
                  std::uint64_t aVersion,
                  TimePoint aNow) const
  {
    const auto supersededFor = aHistory.SupersededFor(aVersion, aNow);
    return supersededFor && *supersededFor >= Limit();
  }

  /// Whether some engine's weights count as outdated though the newest version
  /// has not been known for that long: a companion may know better.
  bool IsUncertain(const std::string& aModel, const ModelState& aState) const
  {
    const auto now = Now();
    const auto versions = mListedVersions.find(aModel);
    const bool isAsked = aState.mAskedVersion == aState.mHistory.Newest() &&
                         aState.mRounds >= kMaxRounds;
    return !isAsked && mDependencies.mFindWeights && !mHosts.empty() &&
           versions != mListedVersions.end() &&
           now - aState.mHistory.NewestLearnedAt() < Limit() &&
           std::any_of(
             versions->second.begin(), versions->second.end(), [&](auto aOne) {
               return IsOutdated(aState.mHistory, aOne, now);
             });
  }

  bool IsAnyUncertain() const
  {
    return std::any_of(mModels.begin(), mModels.end(), [&](const auto& aItem) {
      return IsUncertain(aItem.first, aItem.second);
    });
  }

  /// Asks companions about uncertain models until none is left.
  Task<void> AskWhileUncertain()
  {
    const auto self = shared_from_this();
    while (IsAnyUncertain()) {
      for (auto& [model, state] : mModels) {
        if (IsUncertain(model, state)) {
          BeginRound(model, state);
        }
      }
      co_await transport::Sleep(kRoundInterval);
    }
    mIsAsking = false;
  }

  void BeginRound(const std::string& aModel, ModelState& aState)
  {
    const auto newest = aState.mHistory.Newest();
    if (aState.mAskedVersion != newest) {
      aState.mAskedVersion = newest;
      aState.mAskedAt = Now();
      aState.mRounds = 0;
      mNextHost = 0;
    }
    ++aState.mRounds;
    for (std::size_t i = 0; i < std::min(kHostsPerRound, mHosts.size()); ++i) {
      transport::Spawn(mDependencies.mContext,
                       Ask(mHosts[mNextHost++ % mHosts.size()], aModel));
    }
  }

  Task<void> Ask(std::string aHost, std::string aModel)
  {
    const auto self = shared_from_this();
    // The answer was given after this, so that its ages count from here.
    const auto askedAt = Now();
    const auto confirmations =
      co_await mDependencies.mFindWeights(std::move(aHost), aModel);
    if (!confirmations) {
      co_return;
    }
    auto& state = mModels[aModel];
    for (const auto& confirmation : *confirmations) {
      state.mHistory.Confirm(confirmation.mVersion,
                             askedAt - confirmation.mAge);
    }
  }

  /// A copy: a round may end after the relay.
  RelayDependencies mDependencies;
  Millis mMargin;
  std::map<std::string, ModelState, std::less<>> mModels;
  /// Versions of each model at the listed engines.
  std::map<std::string, std::vector<std::uint64_t>, std::less<>>
    mListedVersions;
  /// Companions: the watchers of the own zone, whose confirmations are the
  /// latest, then the others of the zone; all where it has none.
  std::vector<std::string> mHosts;
  std::size_t mNextHost = 0;
  bool mIsAsking = false;
};

RelayWeights::RelayWeights(const RelayDependencies& aDependencies,
                           Millis aMargin)
  : mShared(std::make_shared<Shared>(aDependencies, aMargin))
{
}

void
RelayWeights::ApplyView(const RelayView& aView,
                        const std::map<std::string, std::string>& aZoneByHost)
{
  auto& shared = *mShared;
  const auto& ownZone = shared.mDependencies.mSettings.mZone;
  shared.mHosts = HostsToAsk(aView.mEndpoints, aZoneByHost, ownZone);
  shared.mListedVersions.clear();
  for (const auto& endpoint : aView.mEndpoints) {
    for (const auto& model : endpoint.mModels) {
      auto& versions = shared.mListedVersions[model.mName];
      if (std::find(versions.begin(), versions.end(), model.mVersion) ==
          versions.end()) {
        versions.push_back(model.mVersion);
      }
    }
  }
  for (const auto& [model, weights] : aView.mWeights) {
    auto& history = shared.mModels[model].mHistory;
    history.Learn(weights.mHistory.Newest(),
                  weights.mHistory.NewestLearnedAt());
    history.Merge(weights.mHistory);
  }
  if (!shared.mIsAsking && shared.IsAnyUncertain()) {
    shared.mIsAsking = true;
    transport::Spawn(shared.mDependencies.mContext, shared.AskWhileUncertain());
  }
}

const state::WeightsHistory*
RelayWeights::Find(const std::string& aModel) const
{
  const auto found = mShared->mModels.find(aModel);
  return found == mShared->mModels.end() ? nullptr : &found->second.mHistory;
}

bool
RelayWeights::IsOutdated(const state::WeightsHistory& aHistory,
                         std::uint64_t aVersion,
                         TimePoint aNow) const
{
  return mShared->IsOutdated(aHistory, aVersion, aNow);
}

bool
RelayWeights::IsPending(const std::string& aModel) const
{
  const auto found = mShared->mModels.find(aModel);
  return mShared->mIsAsking && found != mShared->mModels.end() &&
         mShared->IsUncertain(aModel, found->second) &&
         mShared->Now() - found->second.mAskedAt < kPendingTime;
}

} // namespace shuntjunction::coordination
