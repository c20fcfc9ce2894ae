#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "caller.h"

/// Synthetic workloads with shared prompts and bursts, reproducible by seed.
namespace shuntjunction::bench {

/// Settings of a workload.
struct WorkloadSettings
{
  std::uint64_t mSeed = 1;
  std::size_t mTeams = 8;          ///< a few of them send most requests
  std::size_t mRecords = 12;       ///< distinct second prompt levels of a team
  std::size_t mRuleBytes = 5120;   ///< size of the first prompt level
  std::size_t mRecordBytes = 5120; ///< size of the second level
  std::size_t mClipBytes = 768;    ///< size of the third, always new
  double mRequestsPerSecond = 60;  ///< rate outside of bursts
  double mBurst = 3.0;             ///< factor of the rate in a burst
  double mBurstEvery = 4.0;        ///< seconds between the starts of bursts
  double mBurstFor = 1.0;          ///< length of a burst in seconds
  double mSeconds = 12.0;
  std::uint32_t mTokens = 12;
  double mShiftAt = 0; ///< second at which the hot prefixes change; 0 for never
};

/// A request and the time at which it is sent.
struct TimedCall
{
  double mAt = 0; ///< seconds since the start of the workload
  bool mIsBurst = false;
  std::size_t mTeam = 0;
  std::vector<std::string> mLevels;
};

/// First prompt level of a team.
std::string
RuleText(const WorkloadSettings& aSettings, std::size_t aTeam);

/// Generates the requests of a workload, sorted by time.
std::vector<TimedCall>
MakeWorkload(const WorkloadSettings& aSettings);

/// Number of distinct blocks: the least that the engines must compute.
std::uint64_t
DistinctBlocks(const std::vector<TimedCall>& aCalls);

} // namespace shuntjunction::bench
