// The story of a machine that stops, or is cut off, without a word.

#include <gtest/gtest.h>

#include "shuntjunction/state/endpoint_silence.h"

namespace shuntjunction::state {

class GivenAnEndpointAndItsCompanion : public ::testing::Test
{
protected:
  GivenAnEndpointAndItsCompanion() { mSigns.mHasWord = true; }

  bool IsSilentAfter(Millis aSinceWord, Millis aSinceBytes)
  {
    mSigns.mSinceWord = aSinceWord;
    mSigns.mSinceBytes = aSinceBytes;
    return IsSilent(mSigns);
  }

  LifeSigns mSigns;
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
  mSigns.mHasWord = false;
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(9000)));
}

TEST_F(GivenAnEndpointAndItsCompanion, ACompanionThatEndedTellsNothingOfIt)
{
  mSigns.mIsWordEnded = true;
  EXPECT_FALSE(IsSilentAfter(Millis(60000), Millis(9000)));
}

class WhereARequestWaits : public GivenAnEndpointAndItsCompanion
{
protected:
  WhereARequestWaits() { mSigns.mIsAwaited = true; }
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
