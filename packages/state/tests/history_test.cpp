// Tests of the checkers: each rejects a history that violates its guarantee,
// and accepts one that keeps it.

#include "history.h"

#include <gtest/gtest.h>

namespace shuntjunction::state::history {
namespace {

class GivenAHistory : public ::testing::Test
{
protected:
  GivenAHistory() { mHistory.mExpectedTokens[1] = { "a", "b" }; }

  History mHistory;
};

TEST_F(GivenAHistory, OneExecutionPerKeyIsAcceptedAndTwoAreNot)
{
  mHistory.mExecuted = { { "k", 1 }, { "other", 2 } };
  EXPECT_TRUE(CheckAtMostOnce(mHistory).empty());
  mHistory.mExecuted.push_back({ "k", 3 });
  EXPECT_EQ(CheckAtMostOnce(mHistory).size(), 1U);
}

TEST_F(GivenAHistory, AFalseNotRunReportIsRejected)
{
  mHistory.mReportedOutcomes = { { 1, false, RunState::kNotRun } };
  EXPECT_TRUE(CheckNotRunReports(mHistory).empty());
  mHistory.mExecuted = { { "k", 1 } };
  EXPECT_EQ(CheckNotRunReports(mHistory).size(), 1U);
  mHistory.mReportedOutcomes = { { 1, false, RunState::kUnknown } };
  EXPECT_TRUE(CheckNotRunReports(mHistory).empty());
}

TEST_F(GivenAHistory, CompleteStreamsAreAccepted)
{
  mHistory.mTokens = { { 1, "a" }, { 1, "b" } };
  mHistory.mStreams = { { 1, true } };
  EXPECT_TRUE(CheckStreams(mHistory).empty());
}

TEST_F(GivenAHistory, TruncatedStreamsMustNotLookComplete)
{
  mHistory.mTokens = { { 1, "a" } };
  mHistory.mStreams = { { 1, false } };
  EXPECT_TRUE(CheckStreams(mHistory).empty());
  mHistory.mStreams = { { 1, true } };
  EXPECT_EQ(CheckStreams(mHistory).size(), 1U);
}

TEST_F(GivenAHistory, DuplicatedMixedUpAndReorderedTokensAreRejected)
{
  mHistory.mTokens = { { 1, "a" }, { 1, "a" } };
  EXPECT_FALSE(CheckStreams(mHistory).empty());
  mHistory.mTokens = { { 1, "b" }, { 1, "a" } };
  EXPECT_FALSE(CheckStreams(mHistory).empty());
  mHistory.mTokens = { { 1, "a" }, { 1, "another's" } };
  EXPECT_FALSE(CheckStreams(mHistory).empty());
  mHistory.mTokens = { { 1, "a" }, { 1, "b" }, { 1, "c" } };
  EXPECT_FALSE(CheckStreams(mHistory).empty());
}

TEST_F(GivenAHistory, ARevertedConfigurationIsRejected)
{
  mHistory.mActiveConfigs = { { "r1", 4 }, { "r2", 3 }, { "r1", 5 } };
  EXPECT_TRUE(CheckConfigNeverReverts(mHistory).empty());
  mHistory.mActiveConfigs.push_back({ "r2", 2 });
  EXPECT_EQ(CheckConfigNeverReverts(mHistory).size(), 1U);
}

TEST_F(GivenAHistory, AnOldFencingTokenIsRejected)
{
  mHistory.mExecutedOrders = { { "a", 1, 1 }, { "b", 2, 2 }, { "b", 2, 2 } };
  EXPECT_TRUE(CheckFencesNeverDecrease(mHistory).empty());
  EXPECT_TRUE(CheckFenceHolders(mHistory).empty());
  mHistory.mExecutedOrders.push_back({ "a", 1, 1 });
  EXPECT_EQ(CheckFencesNeverDecrease(mHistory).size(), 1U);
}

TEST_F(GivenAHistory, TwoHoldersOfAFenceAndOneThatSawALaterFenceAreRejected)
{
  mHistory.mExecutedOrders = { { "a", 1, 1 }, { "b", 1, 1 } };
  EXPECT_EQ(CheckFenceHolders(mHistory).size(), 1U);
  mHistory.mExecutedOrders = { { "a", 1, 2 } };
  EXPECT_EQ(CheckFenceHolders(mHistory).size(), 1U);
}

} // namespace
} // namespace shuntjunction::state::history
