// A machine that stops or is cut off without closing its connections.

#include <gtest/gtest.h>

#include "shuntjunction/state/endpoint_silence.h"

namespace shuntjunction::state {

class GivenAnEndpointAndItsCompanion : public ::testing::Test
{
protected:
  GivenAnEndpointAndItsCompanion() { mSignals.mHasCompanionMessage = true; }

  bool IsSilentAfter(Millis aSinceMessage, Millis aSinceBytes)
  {
    mSignals.mSinceCompanionMessage = aSinceMessage;
    mSignals.mSinceEndpointBytes = aSinceBytes;
    return IsSilent(mSignals);
  }

  LivenessSignals mSignals;
};

TEST_F(GivenAnEndpointAndItsCompanion, AMessageThatIsNotOverdueIsNoSilence)
{
  EXPECT_FALSE(IsSilentAfter(Millis(1000), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion, AnOverdueMessageIsSilence)
{
  EXPECT_TRUE(IsSilentAfter(Millis(1300), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion,
       ACompanionThatNeverSentAMessageShowsNothing)
{
  mSignals.mHasCompanionMessage = false;
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion,
       ACompanionThatClosedItsConnectionShowsNothing)
{
  mSignals.mIsCompanionClosed = true;
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(9000)));
}

class WithAPendingRequest : public GivenAnEndpointAndItsCompanion
{
protected:
  WithAPendingRequest() { mSignals.mHasPendingRequest = true; }
};

TEST_F(WithAPendingRequest, BytesShowThatItWorksWhateverItsCompanionDoes)
{
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(500)));
}

TEST_F(WithAPendingRequest, IfBothAreSilentTheTimeoutIsShorter)
{
  EXPECT_TRUE(IsSilentAfter(Millis(600), Millis(800)));
  EXPECT_FALSE(IsSilentAfter(Millis(599), Millis(800)));
  EXPECT_FALSE(IsSilentAfter(Millis(600), Millis(799)));
}

class WhoseCompanionReportsItDown : public WithAPendingRequest
{
protected:
  WhoseCompanionReportsItDown() { mSignals.mIsReportedDown = true; }

  bool HasStoppedAfter(Millis aSinceBytes)
  {
    mSignals.mSinceEndpointBytes = aSinceBytes;
    return HasStopped(mSignals);
  }
};

TEST_F(WhoseCompanionReportsItDown, ItHasStoppedOnceItsBytesAreOverdueToo)
{
  EXPECT_FALSE(HasStoppedAfter(Millis(1299)));
  EXPECT_TRUE(HasStoppedAfter(Millis(1300)));
}

TEST_F(WhoseCompanionReportsItDown, AReportFromBeforeItsEndShowsNothing)
{
  mSignals.mIsCompanionClosed = true;
  EXPECT_FALSE(HasStoppedAfter(Millis(60000)));
}

TEST_F(WhoseCompanionReportsItDown, WithoutRequestsThereIsNothingToMove)
{
  mSignals.mHasPendingRequest = false;
  EXPECT_FALSE(HasStoppedAfter(Millis(60000)));
}

} // namespace shuntjunction::state
