#include <gtest/gtest.h>

#include "run_takeover_model.h"

// A relay never continues a run elsewhere that has not ended, whatever pauses,
// crashes, restarts, drains and lost answers come in between.

namespace shuntjunction::state {
namespace {

using takeover::Model;
using takeover::Variant;

TEST(TheModelOfATakeover, NoRunContinuesElsewhereBeforeItHasEnded)
{
  Model model{ {} };
  EXPECT_EQ(model.Explore(), 0) << model.Trace();
}

TEST(TheModelOfATakeover, NoneDoesWhereEachRestartIsSeenBeforeTheSend)
{
  Model model({ .mHasNoUnseenRestart = true });
  EXPECT_EQ(model.Explore(), 0) << model.Trace();
}

TEST(TheModelOfATakeover, NoneDoesWhereAReportIsMadeAtEachResume)
{
  Model model({ .mReportsAtResume = true });
  EXPECT_EQ(model.Explore(), 0) << model.Trace();
}

class GivenSeenRestartsAndReportsAtEachResume : public ::testing::Test
{
protected:
  Variant mVariant{ .mHasNoUnseenRestart = true, .mReportsAtResume = true };
};

TEST_F(GivenSeenRestartsAndReportsAtEachResume, NoRunContinuesBeforeItsEnd)
{
  Model model(mVariant);
  EXPECT_EQ(model.Explore(), 0) << model.Trace();
  EXPECT_GT(model.States(), 10000U);
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume, EachEndIsShownAndUsed)
{
  Model model(mVariant);
  model.Explore();
  const std::set<RunEnd> all{
    RunEnd::kUnknown, RunEnd::kRefused, RunEnd::kReplaced, RunEnd::kNotRunning
  };
  EXPECT_EQ(model.Ends(), all);
  EXPECT_TRUE(model.ContinuesTwice());
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume, TheCheckerFindsATrustInSilence)
{
  mVariant.mTrustsSilence = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

class GivenAllThatMayHappen : public ::testing::Test
{
protected:
  Variant mVariant;
};

TEST_F(GivenAllThatMayHappen, TheCheckerFindsATrustInTheIncarnationAtTheSend)
{
  mVariant.mTrustsIncarnationAtSend = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

TEST_F(GivenAllThatMayHappen, TheCheckerFindsATrustInAReplyFromBeforeThePause)
{
  mVariant.mTrustsReplyThatLags = true;
  mVariant.mHasNoUnseenRestart = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume,
       TheCheckerFindsATrustInAReplyThatLags)
{
  mVariant.mTrustsReplyThatLags = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume,
       TheCheckerFindsATrustInAbsenceBeforeAnyByteCame)
{
  mVariant.mTrustsAbsenceBeforeBytes = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume,
       TheCheckerFindsATrustInAbsenceBesideAQueue)
{
  mVariant.mTrustsAbsenceBesideQueue = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume,
       TheCheckerFindsATrustInTheRefusalOfADrainingEngine)
{
  mVariant.mTrustsRefusalOfDraining = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

TEST_F(GivenSeenRestartsAndReportsAtEachResume,
       TheCheckerFindsATrustInAReplyAskedBeforeTheSend)
{
  mVariant.mTrustsEarlierReply = true;
  EXPECT_GT(Model(mVariant).Explore(), 0);
}

} // namespace
} // namespace shuntjunction::state
