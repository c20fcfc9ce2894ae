// The story of claims in the platform: what a request costs, what a lost answer
// does, and what becomes of old ones.

#include <gtest/gtest.h>

#include "fake_platform.h"
#include "shuntjunction/coordination/claim_manager.h"
#include "shuntjunction/coordination/claim_sweeper.h"
#include "shuntjunction/state/claim_retention.h"
#include "shuntjunction/transport/run_task.h"

namespace shuntjunction::coordination {
namespace {

using state::ClaimStep;
using state::Millis;

class GivenAKeeper : public ::testing::Test
{
protected:
  template<typename T>
  T Run(transport::Task<T> aTask)
  {
    return transport::RunTask(mContext, std::move(aTask));
  }

  void Settle()
  {
    mContext.restart();
    mContext.run();
  }

  ClaimResult Claim(const std::string& aKey)
  {
    return Run(
      mKeeper.Settle("north", aKey, "digest", mClock.Now() + Millis(1000)));
  }

  void Record(ClaimResult aVerdict)
  {
    aVerdict.mRecord.mIsDone = true;
    aVerdict.mRecord.mStatus = 200;
    transport::Spawn(mContext, mKeeper.Record(aVerdict));
    Settle();
  }

  boost::asio::io_context mContext{ 1 };
  state::SystemClock mClock;
  Metrics mMetrics;
  FakePlatform mPlatform;
  ClaimManager mKeeper{ mContext, mPlatform, mClock, mMetrics };
};

TEST_F(GivenAKeeper, ARequestCostsTwoWritesAndNoRead)
{
  const auto verdict = Claim("k");
  ASSERT_EQ(verdict.mStep, ClaimStep::kExecute);
  Record(verdict);
  EXPECT_EQ(mPlatform.mWrites, 2);
  EXPECT_EQ(mPlatform.mReads, 0);
  {
    SCOPED_TRACE("whoever asks again gets the outcome");
    const auto again = Claim("k");
    EXPECT_EQ(again.mStep, ClaimStep::kReplay);
    EXPECT_EQ(again.mRecord.mStatus, 200U);
  }
}

TEST_F(GivenAKeeper, ALostAnswerIsReadBackAndItsOutcomeRecorded)
{
  mPlatform.mNextWrite = WriteFate::kAnswerIsLost;
  const auto verdict = Claim("k");
  ASSERT_EQ(verdict.mStep, ClaimStep::kExecute);
  EXPECT_NE(verdict.mRevision, 0U);
  Record(verdict);
  EXPECT_EQ(Claim("k").mStep, ClaimStep::kReplay);
}

TEST_F(GivenAKeeper, ALostRecordIsWrittenOnce)
{
  const auto verdict = Claim("k");
  for (const auto fate : { WriteFate::kCallIsLost, WriteFate::kAnswerIsLost }) {
    mPlatform.mNextWrite = fate;
    Record(verdict);
    EXPECT_EQ(Claim("k").mStep, ClaimStep::kReplay);
  }
}

TEST_F(GivenAKeeper, AnOutcomeIsNeverWrittenOverAnothersClaim)
{
  const auto verdict = Claim("k");
  mPlatform.mObjects.clear(); // An operator's hand, or a restored platform.
  const auto other = Claim("k");
  ASSERT_EQ(other.mStep, ClaimStep::kExecute);
  Record(verdict);
  EXPECT_EQ(Claim("k").mStep, ClaimStep::kHeldByOther);
}

class WithOldClaims : public GivenAKeeper
{
protected:
  static constexpr Millis kRetention{ 60000 };

  void Add(std::size_t aShard, std::int64_t aAge)
  {
    state::ClaimRecord record;
    record.mNonce = "n";
    record.mBodyDigest = "d";
    record.mCreatedAtMillis = mClock.WallMillis() - aAge;
    const std::string key =
      state::ClaimShardPrefix(aShard) + "t/" + std::to_string(aAge);
    mPlatform.mObjects[key] = { key, 1, state::WriteClaimRecord(record) };
  }

  ClaimSweeper mSweeper{ mContext,
                         { "c", kRetention },
                         mPlatform,
                         mClock,
                         mMetrics };
};

TEST_F(WithOldClaims, ASweepDeletesThemAndLeavesTheRest)
{
  Add(5, 100000);
  Add(5, 0);
  Add(6, 100000);
  Add(6, 0);
  EXPECT_EQ(Run(mSweeper.Sweep(5)), 1U);
  EXPECT_EQ(mPlatform.mObjects.size(), 3U);
  EXPECT_EQ(mMetrics.Value("shuntjunction_claims_expired_total"), 1);
}

} // namespace
} // namespace shuntjunction::coordination
