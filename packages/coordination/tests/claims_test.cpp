// Claims in the platform: the calls per request, lost responses, and the
// deletion of expired claims.

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

class GivenAClaimManager : public ::testing::Test
{
protected:
  template<typename T>
  T Run(transport::Task<T> aTask)
  {
    return transport::RunTask(mContext, std::move(aTask));
  }

  void RunPending()
  {
    mContext.restart();
    mContext.run();
  }

  ClaimResult Claim(const std::string& aKey)
  {
    return Run(
      mManager.Acquire("north", aKey, "digest", mClock.Now() + Millis(1000)));
  }

  void Record(ClaimResult aClaim)
  {
    aClaim.mRecord.mIsDone = true;
    aClaim.mRecord.mStatus = 200;
    transport::Spawn(mContext, mManager.Record(aClaim));
    RunPending();
  }

  boost::asio::io_context mContext{ 1 };
  state::SystemClock mClock;
  Metrics mMetrics;
  FakePlatform mPlatform;
  ClaimManager mManager{ mContext, mPlatform, mClock, mMetrics };
};

TEST_F(GivenAClaimManager, ARequestTakesTwoWritesAndNoRead)
{
  const auto claim = Claim("k");
  ASSERT_EQ(claim.mStep, ClaimStep::kExecute);
  Record(claim);
  EXPECT_EQ(mPlatform.mWrites, 2);
  EXPECT_EQ(mPlatform.mReads, 0);
  {
    SCOPED_TRACE("a caller that retries gets the recorded outcome");
    const auto again = Claim("k");
    EXPECT_EQ(again.mStep, ClaimStep::kReplay);
    EXPECT_EQ(again.mRecord.mStatus, 200U);
  }
}

TEST_F(GivenAClaimManager,
       AfterALostResponseTheClaimIsReadBackAndItsOutcomeRecorded)
{
  mPlatform.mNextWrite = WriteFault::kResponseLost;
  const auto claim = Claim("k");
  ASSERT_EQ(claim.mStep, ClaimStep::kExecute);
  EXPECT_NE(claim.mRevision, 0U);
  Record(claim);
  EXPECT_EQ(Claim("k").mStep, ClaimStep::kReplay);
}

TEST_F(GivenAClaimManager, AnOutcomeIsRecordedDespiteALostWrite)
{
  const auto claim = Claim("k");
  for (const auto fault :
       { WriteFault::kRequestLost, WriteFault::kResponseLost }) {
    mPlatform.mNextWrite = fault;
    Record(claim);
    EXPECT_EQ(Claim("k").mStep, ClaimStep::kReplay);
  }
}

TEST_F(GivenAClaimManager, AnOutcomeNeverOverwritesAnotherClaim)
{
  const auto claim = Claim("k");
  // As if an operator had deleted the claim, or the platform were restored.
  mPlatform.mObjects.clear();
  const auto other = Claim("k");
  ASSERT_EQ(other.mStep, ClaimStep::kExecute);
  Record(claim);
  EXPECT_EQ(Claim("k").mStep, ClaimStep::kHeldByOther);
}

class ThatHasExpiredClaims : public GivenAClaimManager
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

TEST_F(ThatHasExpiredClaims, ASweepDeletesOnlyTheExpiredClaimsOfItsShard)
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
