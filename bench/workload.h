#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "caller.h"

/// The two workloads of the brief, reproducible by seed.
namespace shuntjunction::bench {

/// Settings of a workload.
struct WorkloadSettings
{
  std::uint64_t mSeed = 1;
  std::size_t mTeams = 8;          ///< a few of them large
  std::size_t mRecords = 12;       ///< second prompt levels of a team
  std::size_t mRuleBytes = 5120;   ///< of the first prompt level
  std::size_t mRecordBytes = 5120; ///< of the second
  std::size_t mClipBytes = 768;    ///< of the third, new each time
  double mRequestsPerSecond = 60;  ///< between events
  double mBurst = 3.0;             ///< times as many in a burst
  double mBurstEvery = 4.0;        ///< seconds between events' starts
  double mBurstFor = 1.0;          ///< seconds that a burst lasts
  double mSeconds = 12.0;
  std::uint32_t mTokens = 12;
  double mShiftAt = 0; ///< seconds after which other prefixes are hot; 0 never
};

/// A request of a workload and when it is made.
struct TimedCall
{
  double mAt = 0; ///< seconds from the beginning
  bool mIsBurst = false;
  std::size_t mTeam = 0;
  std::vector<std::string> mLevels;
};

/// The first prompt level of a team.
std::string
RuleText(const WorkloadSettings& aSettings, std::size_t aTeam);

/// All requests of a workload, in the order of their times.
std::vector<TimedCall>
MakeWorkload(const WorkloadSettings& aSettings);

/// Blocks that must be computed at least: each distinct one once.
std::uint64_t
UnavoidableBlocks(const std::vector<TimedCall>& aCalls);

} // namespace shuntjunction::bench
