// Tests that a non-repeatable request runs at most once: claims under lost
// responses, late writes, crashes, racing routers and pauses.

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

TEST_F(GivenAClaim, ASuccessfulCreateHoldsIt)
{
  mMachine.OnCreateResult(7);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kExecute);
  {
    SCOPED_TRACE("and later events do not change that");
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

TEST_F(GivenAClaim, RecordsSurviveSerialization)
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

class WhoseResponseWasLost : public GivenAClaim
{
protected:
  void SetUp() override
  {
    mMachine.OnCreateResult(Failed(ErrorCode::kTimeout));
    ASSERT_EQ(mMachine.Step(), ClaimStep::kReadBack);
  }
};

TEST_F(WhoseResponseWasLost, ItsOwnNonceSettlesIt)
{
  ReadBack("mine", "digest", false);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kExecute);
}

TEST_F(WhoseResponseWasLost, AnothersNonceSettlesItToo)
{
  ReadBack("another's", "digest", false);
  EXPECT_EQ(mMachine.Step(), ClaimStep::kHeldByOther);
}

TEST_F(WhoseResponseWasLost, WithoutARecordItIsCreatedAgain)
{
  mMachine.OnReadResult(std::optional<ClaimRecord>());
  EXPECT_EQ(mMachine.Step(), ClaimStep::kCreate);
}

TEST_F(WhoseResponseWasLost, WithNoMoreTimeItIsNotRun)
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
  RequestLifecycle lifecycle(Repeatability::kClaimed);
  lifecycle.Offered();
  lifecycle.Refused();
  EXPECT_TRUE(lifecycle.IsNotRun());
  EXPECT_TRUE(lifecycle.MayOffer());
}

TEST_F(GivenARequest, ALostAttemptIsRemembered)
{
  RequestLifecycle lifecycle(Repeatability::kRepeatable);
  lifecycle.Offered();
  lifecycle.Lost();
  EXPECT_TRUE(lifecycle.MayOffer());
  lifecycle.Offered();
  lifecycle.Refused();
  EXPECT_FALSE(lifecycle.IsNotRun());
}

TEST_F(GivenARequest, AnUnclaimedOneIsNotSentAgainAfterALoss)
{
  RequestLifecycle lifecycle(Repeatability::kUnclaimed);
  lifecycle.Offered();
  lifecycle.Lost();
  EXPECT_FALSE(lifecycle.MayOffer());
}

TEST_F(GivenARequest, AClaimedOneIsSentAgainUntilItWasStarted)
{
  RequestLifecycle lifecycle(Repeatability::kClaimed);
  lifecycle.Offered();
  lifecycle.Lost();
  EXPECT_TRUE(lifecycle.MayOffer());
  lifecycle.Offered();
  lifecycle.Started();
  lifecycle.Lost();
  EXPECT_FALSE(lifecycle.MayOffer());
  EXPECT_FALSE(lifecycle.IsNotRun());
}

TEST_F(GivenARequest, ALossIsRememberedWhenItsClaimIsFoundHeld)
{
  // The claim may then be that of its own lost attempt, not of another request.
  RequestLifecycle lifecycle(Repeatability::kClaimed);
  lifecycle.Offered();
  EXPECT_FALSE(lifecycle.WasLost());
  lifecycle.Lost();
  lifecycle.Offered();
  lifecycle.Settled();
  EXPECT_TRUE(lifecycle.WasLost());
  EXPECT_FALSE(lifecycle.IsNotRun());
}

TEST_F(GivenARequest, LateEventsAfterItsEndChangeNothing)
{
  RequestLifecycle lifecycle(Repeatability::kRepeatable);
  lifecycle.Offered();
  lifecycle.Finished();
  lifecycle.Lost();
  lifecycle.Refused();
  EXPECT_EQ(lifecycle.State(), RequestState::kComplete);
}

RC_GTEST_PROP(GeneratedClaims,
              NoKeyRunsTwiceAndNotRunReportsAreTrue,
              (const std::vector<std::uint8_t>& aSchedule))
{
  const History history = ClaimSimulation(ClaimMechanisms{}).Run(aSchedule);
  RC_ASSERT(CheckAtMostOnce(history).empty());
  RC_ASSERT(CheckNotRunReports(history).empty());
}

/// Disables each mechanism in turn: the checkers must find violations.
class WithoutAMechanism : public ::testing::Test
{
protected:
  struct ViolationCounts
  {
    int mExecutedTwice = 0;
    int mFalseNotRun = 0;
  };

  static ViolationCounts Search(const ClaimMechanisms& aMechanisms)
  {
    constexpr int kSchedules = 5000;
    ViolationCounts counts;
    ForEachSchedule(kSchedules, [&](const auto& aSchedule) {
      const History history = ClaimSimulation(aMechanisms).Run(aSchedule);
      counts.mExecutedTwice += CheckAtMostOnce(history).empty() ? 0 : 1;
      counts.mFalseNotRun += CheckNotRunReports(history).empty() ? 0 : 1;
    });
    return counts;
  }
};

TEST_F(WithoutAMechanism, WithAllOfThemNothingIsViolated)
{
  const ViolationCounts counts = Search({});
  EXPECT_EQ(counts.mExecutedTwice, 0);
  EXPECT_EQ(counts.mFalseNotRun, 0);
}

TEST_F(WithoutAMechanism, WithoutClaimsKeysRunTwice)
{
  EXPECT_GT(Search({ .mClaims = false }).mExecutedTwice, 0);
}

TEST_F(WithoutAMechanism, WithoutReadingBackKeysRunTwice)
{
  EXPECT_GT(Search({ .mReadsBack = false }).mExecutedTwice, 0);
}

TEST_F(WithoutAMechanism, WithoutTheNonceAReleaseFreesAnothersClaim)
{
  EXPECT_GT(Search({ .mChecksNonce = false }).mExecutedTwice, 0);
}

TEST_F(WithoutAMechanism, WithoutTrackingUncertaintyNotRunIsReportedFalsely)
{
  EXPECT_GT(Search({ .mTracksUncertainty = false }).mFalseNotRun, 0);
}

TEST_F(WithoutAMechanism, WithoutTheDeadlineAPausedCompanionRunsWhatItRefused)
{
  EXPECT_GT(Search({ .mChecksDeadline = false }).mFalseNotRun, 0);
}

} // namespace
} // namespace shuntjunction::state::history
