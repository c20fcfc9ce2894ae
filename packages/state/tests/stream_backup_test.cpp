#include <gtest/gtest.h>

#include "shuntjunction/state/stream_backup.h"

// Tests which runs are copied to a second engine, and to which.

namespace shuntjunction::state {

class GivenARunAndFourEngines : public ::testing::Test
{
protected:
  GivenARunAndFourEngines()
  {
    for (std::uint64_t i = 0; i < 4; ++i) {
      BackupCandidate candidate;
      candidate.mNameHash = i;
      candidate.mDistance = Distance::kSameZone;
      candidate.mVersion = 3;
      candidate.mSlots = 48;
      candidate.mCapacityTokens = 80000;
      mCandidates.push_back(candidate);
    }
  }

  std::optional<std::size_t> Choose(std::uint64_t aKey = 1) const
  {
    return ChooseBackup(mRequest, mCandidates, 3, aKey, mSettings);
  }

  BackupRequest mRequest{ 800, 100, false, 0 };
  std::vector<BackupCandidate> mCandidates;
  StreamBackupSettings mSettings;
};

TEST_F(GivenARunAndFourEngines, CopiesAreSpreadOverThem)
{
  std::vector<int> copies(4);
  for (std::uint64_t key = 0; key < 400; ++key) {
    ++copies[*Choose(key)];
  }
  for (const int count : copies) {
    EXPECT_GT(count, 50);
  }
}

TEST_F(GivenARunAndFourEngines, TheNearestIsPreferred)
{
  mCandidates[0].mDistance = Distance::kSameRegion;
  mCandidates[1].mDistance = Distance::kOtherRegion;
  mCandidates[3].mDistance = Distance::kUnknown;
  EXPECT_EQ(Choose(), 2U);
}

// A copy in another region takes ten times as long and costs more than the run.
TEST_F(GivenARunAndFourEngines, AnotherRegionGetsNoCopy)
{
  for (auto& candidate : mCandidates) {
    candidate.mDistance = Distance::kOtherRegion;
  }
  EXPECT_FALSE(Choose());
}

TEST_F(GivenARunAndFourEngines, NeitherSuspectNorLimitedOnesNorOtherWeights)
{
  mCandidates[0].mIsSuspect = true;
  mCandidates[1].mIsLimited = true;
  mCandidates[2].mVersion = 4;
  EXPECT_EQ(Choose(), 3U);
}

TEST_F(GivenARunAndFourEngines, AFullEngineGetsNoCopy)
{
  mCandidates[0].mRunning = 48;
  mCandidates[1].mBackupTokens = 3500;
  mCandidates[2].mUsedTokens = 30000;
  EXPECT_EQ(Choose(), 3U);
}

TEST_F(GivenARunAndFourEngines, ALongPromptIsNotCopied)
{
  mRequest.mPromptTokens = 9190;
  EXPECT_FALSE(Choose());
}

TEST_F(GivenARunAndFourEngines, AStreamThatMayBeResumedIsNotCopied)
{
  mRequest.mIsResumable = true;
  EXPECT_FALSE(Choose());
}

TEST_F(GivenARunAndFourEngines, AShortAnswerIsNotWorthACopy)
{
  mRequest.mMaxNewTokens = 10;
  EXPECT_FALSE(Choose());
}

} // namespace shuntjunction::state
