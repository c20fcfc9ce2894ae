// The story of a request that must not be repeated: claims under lost answers,
// late writes, crashes, racing routers and pauses.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "claim_simulation.h"
#include "schedules.h"

namespace shuntjunction::state::history {
namespace {

class GivenAClaim : public ::testing::Test
{
protected:
  static Result<std::uint64_t> Failed(ErrorCode aCode)
  {
    return Fail(aCode, "test", "platform", "failed");
  }

  void ReadBack(const std::string& aNonce,
                const std::string& aDigest,
                bool aIsDone)
  {
    ClaimRecord record;
    record.mNonce = aNonce;
    record.mBodyDigest = aDigest;
    record.mIsDone = aIsDone;
    mMachine.OnReadResult(std::optional(record));
  }

  ClaimMachine mMachine{ "mine", "digest" };
};

TEST_F(GivenAClaim, AnAnsweredCreateHoldsIt)
{
  mMachine.OnCreateResult(7);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kExecute);
  {
    SCOPED_TRACE("and nothing takes it back");
    mMachine.OnTimeout();
    mMachine.OnCreateResult(Failed(ErrorCode::kTimeout));
    EXPECT_EQ(mMachine.Step(), ClaimStep::kExecute);
  }
}

TEST_F(GivenAClaim, AConflictIsReadBack)
{
  mMachine.OnCreateResult(Failed(ErrorCode::kConflict));
  ASSERT_EQ(mMachine.Step(), ClaimStep::kReadBack);
  EXPECT_FALSE(mMachine.MayHaveWritten());
  ReadBack("another's", "digest", true);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kReplay);
}

TEST_F(GivenAClaim, AnotherBodyUnderTheSameKeyIsAnError)
{
  mMachine.OnCreateResult(Failed(ErrorCode::kConflict));
  ReadBack("another's", "another digest", true);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kKeyReused);
}

TEST_F(GivenAClaim, RecordsSurviveTheirText)
{
  ClaimRecord record = mMachine.NewRecord(12345);
  record.mIsDone = true;
  record.mStatus = 201;
  record.mContentType = "application/json";
  record.mBody = R"({"done":"\u00e9\n"})";
  record.mFinishReason = "stop";
  record.mTokens = 9;
  const auto read = ReadClaimRecord(WriteClaimRecord(record));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(*read, record);
  EXPECT_FALSE(ReadClaimRecord("{\"nonce\":1}").has_value());
  EXPECT_FALSE(ReadClaimRecord("half a rec").has_value());
}

class WhoseAnswerWasLost : public GivenAClaim
{
protected:
  void SetUp() override
  {
    mMachine.OnCreateResult(Failed(ErrorCode::kTimeout));
    ASSERT_EQ(mMachine.Step(), ClaimStep::kReadBack);
  }
};

TEST_F(WhoseAnswerWasLost, ItsOwnNonceSettlesIt)
{
  ReadBack("mine", "digest", false);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kExecute);
}

TEST_F(WhoseAnswerWasLost, AnothersNonceSettlesItToo)
{
  ReadBack("another's", "digest", false);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kHeldByOther);
}

TEST_F(WhoseAnswerWasLost, WhereNothingStandsItIsCreatedAgain)
{
  mMachine.OnReadResult(std::optional<ClaimRecord>());
  EXPECT_EQ(mMachine.Step(), ClaimStep::kCreate);
}

TEST_F(WhoseAnswerWasLost, WithNoMoreTimeItIsNotRun)
{
  mMachine.OnReadResult(
    Fail(ErrorCode::kTimeout, "test", "platform", "no answer"));
  EXPECT_EQ(mMachine.Step(), ClaimStep::kReadBack);
  mMachine.OnTimeout();
  EXPECT_EQ(mMachine.Step(), ClaimStep::kUndecided);
  EXPECT_TRUE(mMachine.MayHaveWritten());
}

class GivenARequest : public ::testing::Test
{};

TEST_F(GivenARequest, ARefusalLeavesItNotRun)
{
  RequestLifecycle life(Repeatability::kClaimed);
  life.Offered();
  life.Refused();
  EXPECT_TRUE(life.IsNotRun());
  EXPECT_TRUE(life.MayOffer());
}

TEST_F(GivenARequest, ALossIsNeverForgotten)
{
  RequestLifecycle life(Repeatability::kRepeatable);
  life.Offered();
  life.Lost();
  EXPECT_TRUE(life.MayOffer());
  life.Offered();
  life.Refused();
  EXPECT_FALSE(life.IsNotRun());
}

TEST_F(GivenARequest, WhatNothingGuardsIsNotSentAgainAfterALoss)
{
  RequestLifecycle life(Repeatability::kUnclaimed);
  life.Offered();
  life.Lost();
  EXPECT_FALSE(life.MayOffer());
}

TEST_F(GivenARequest, AClaimedOneIsSentAgainUntilItWasStarted)
{
  RequestLifecycle life(Repeatability::kClaimed);
  life.Offered();
  life.Lost();
  EXPECT_TRUE(life.MayOffer());
  life.Offered();
  life.Started();
  life.Lost();
  EXPECT_FALSE(life.MayOffer());
  EXPECT_FALSE(life.IsNotRun());
}

TEST_F(GivenARequest, ThatOneWasLostIsRememberedWhenItsClaimIsFoundTaken)
{
  // The claim may then be its own: no earlier request need have taken it.
  RequestLifecycle life(Repeatability::kClaimed);
  life.Offered();
  EXPECT_FALSE(life.WasLost());
  life.Lost();
  life.Offered();
  life.Settled();
  EXPECT_TRUE(life.WasLost());
  EXPECT_FALSE(life.IsNotRun());
}

TEST_F(GivenARequest, LateNewsAfterItsEndChangesNothing)
{
  RequestLifecycle life(Repeatability::kRepeatable);
  life.Offered();
  life.Finished();
  life.Lost();
  life.Refused();
  EXPECT_EQ(life.State(), RequestState::kComplete);
}

RC_GTEST_PROP(GeneratedClaims,
              NoKeyRunsTwiceAndNotRunIsTrue,
              (const std::vector<std::uint8_t>& aSchedule))
{
  const History history = ClaimSimulation(ClaimMechanisms{}).Run(aSchedule);
  RC_ASSERT(CheckAtMostOnce(history).empty());
  RC_ASSERT(CheckNotRunIsTrue(history).empty());
}

/// Each mechanism taken out in turn: the checkers must find the harm.
class WithoutAMechanism : public ::testing::Test
{
protected:
  struct Found
  {
    int mTwice = 0;
    int mFalseNotRun = 0;
  };

  static Found Search(const ClaimMechanisms& aMechanisms)
  {
    constexpr int kSchedules = 5000;
    Found found;
    ForEachSchedule(kSchedules, [&](const auto& aSchedule) {
      const History history = ClaimSimulation(aMechanisms).Run(aSchedule);
      found.mTwice += CheckAtMostOnce(history).empty() ? 0 : 1;
      found.mFalseNotRun += CheckNotRunIsTrue(history).empty() ? 0 : 1;
    });
    return found;
  }
};

TEST_F(WithoutAMechanism, NoneTakenOutNoneIsBroken)
{
  const Found found = Search({});
  EXPECT_EQ(found.mTwice, 0);
  EXPECT_EQ(found.mFalseNotRun, 0);
}

TEST_F(WithoutAMechanism, WithoutClaimsKeysRunTwice)
{
  EXPECT_GT(Search({ .mClaims = false }).mTwice, 0);
}

TEST_F(WithoutAMechanism, WithoutReadingBackKeysRunTwice)
{
  EXPECT_GT(Search({ .mReadsBack = false }).mTwice, 0);
}

TEST_F(WithoutAMechanism, WithoutTheNonceAReleaseFreesAnothersClaim)
{
  EXPECT_GT(Search({ .mChecksNonce = false }).mTwice, 0);
}

TEST_F(WithoutAMechanism, WithoutDoubtNotRunIsSaidOfWhatRan)
{
  EXPECT_GT(Search({ .mRemembersDoubt = false }).mFalseNotRun, 0);
}

TEST_F(WithoutAMechanism, WithoutTheClockAPausedCompanionRunsWhatItRefused)
{
  EXPECT_GT(Search({ .mChecksDeadline = false }).mFalseNotRun, 0);
}

} // namespace
} // namespace shuntjunction::state::history
