#include "workload.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "shuntjunction/coordination/chat_api.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::bench {

namespace {

/// Filler text of aBytes; equal names give a common prefix.
std::string
Text(const std::string& aName, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aName + "/" + std::to_string(text.size()) + " ";
  }
  text.resize(aBytes);
  return text;
}

/// Draws a rank from a Zipf distribution: probability ~ 1 / (rank + 1).
std::size_t
DrawRank(std::mt19937_64& aRandom, std::size_t aCount)
{
  std::vector<double> weights;
  weights.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    weights.push_back(1.0 / static_cast<double>(i + 1));
  }
  return std::discrete_distribution<std::size_t>(weights.begin(),
                                                 weights.end())(aRandom);
}

} // namespace

std::string
RuleText(const WorkloadSettings& aSettings, std::size_t aTeam)
{
  return Text("rules of team " + std::to_string(aTeam), aSettings.mRuleBytes);
}

std::vector<TimedCall>
MakeWorkload(const WorkloadSettings& aSettings)
{
  std::mt19937_64 random(aSettings.mSeed);
  std::vector<TimedCall> calls;
  double at = 0;
  std::size_t clip = 0;
  while (at < aSettings.mSeconds) {
    const double phase = std::fmod(at, aSettings.mBurstEvery);
    const bool isBurst =
      at >= aSettings.mBurstEvery && phase < aSettings.mBurstFor;
    const double rate =
      aSettings.mRequestsPerSecond * (isBurst ? aSettings.mBurst : 1.0);
    at += std::exponential_distribution<double>(rate)(random);
    const bool isShifted = aSettings.mShiftAt > 0 && at > aSettings.mShiftAt;
    TimedCall call;
    call.mAt = at;
    call.mIsBurst = isBurst;
    call.mTeam = DrawRank(random, aSettings.mTeams);
    std::size_t record = DrawRank(random, aSettings.mRecords);
    record += isShifted ? aSettings.mRecords : 0;
    const std::string team = "rules of team " + std::to_string(call.mTeam);
    call.mLevels = {
      Text(team, aSettings.mRuleBytes),
      Text(team + " record " + std::to_string(record), aSettings.mRecordBytes),
      Text("clip " + std::to_string(++clip), aSettings.mClipBytes)
    };
    calls.push_back(std::move(call));
  }
  return calls;
}

std::uint64_t
DistinctBlocks(const std::vector<TimedCall>& aCalls)
{
  std::unordered_set<state::PrefixHash> distinct;
  for (const auto& call : aCalls) {
    std::vector<std::string> levels;
    for (std::size_t i = 0; i < call.mLevels.size(); ++i) {
      const bool isLast = i + 1 == call.mLevels.size();
      levels.push_back((isLast ? "user\n" : "system\n") + call.mLevels[i] +
                       "\n");
    }
    const auto chain =
      state::BuildPrefixChain({ std::to_string(call.mTeam), "m", 1 }, levels);
    distinct.insert(chain.mBlocks.begin(), chain.mBlocks.end());
  }
  return distinct.size();
}

} // namespace shuntjunction::bench
