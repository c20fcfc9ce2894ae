// The story of a machine that stops, or is cut off, without a word.

#include <gtest/gtest.h>

#include "shuntjunction/state/endpoint_silence.h"

namespace shuntjunction::state {

class GivenAnEndpointAndItsCompanion : public ::testing::Test
{
protected:
  GivenAnEndpointAndItsCompanion() { mSigns.mHasCompanionMessage = true; }

  bool IsSilentAfter(Millis aSinceWord, Millis aSinceBytes)
  {
    mSigns.mSinceCompanionMessage = aSinceWord;
    mSigns.mSinceEndpointBytes = aSinceBytes;
    return IsSilent(mSigns);
  }

  LivenessSignals mSigns;
};

TEST_F(GivenAnEndpointAndItsCompanion, AWordThatIsDueIsNoSilence)
{
  EXPECT_FALSE(IsSilentAfter(Millis(1000), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion, NoWordBeyondThatIs)
{
  EXPECT_TRUE(IsSilentAfter(Millis(1300), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion, OneThatNeverSpokeTellsNothing)
{
  mSigns.mHasCompanionMessage = false;
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion, ACompanionThatEndedTellsNothingOfIt)
{
  mSigns.mIsCompanionClosed = true;
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(9000)));
}

class WhereARequestWaits : public GivenAnEndpointAndItsCompanion
{
protected:
  WhereARequestWaits() { mSigns.mHasPendingRequest = true; }
};

TEST_F(WhereARequestWaits, BytesProveItsLifeWhateverItsCompanionDoes)
{
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(500)));
}

TEST_F(WhereARequestWaits, BothSilentCountsSooner)
{
  EXPECT_TRUE(IsSilentAfter(Millis(600), Millis(800)));
  EXPECT_FALSE(IsSilentAfter(Millis(599), Millis(800)));
  EXPECT_FALSE(IsSilentAfter(Millis(600), Millis(799)));
}

} // namespace shuntjunction::state
