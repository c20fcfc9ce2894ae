// Tests how many connections a traffic thread is handed between two signs.

#include "shuntjunction/state/accept_window.h"

#include <gtest/gtest.h>

namespace shuntjunction::state {
namespace {

class GivenAnAcceptWindow : public ::testing::Test
{
protected:
  /// Hands over all that it allows.
  void UseUp()
  {
    while (mWindow.HasRoom()) {
      mWindow.NoteHandedOver();
    }
  }

  const AcceptWindowSettings mSettings{ 8, 2, 32, Millis(100), Millis(50) };
  AcceptWindow mWindow{ mSettings };
};

TEST_F(GivenAnAcceptWindow, NoMoreThanItsSizeIsHandedOverBetweenTwoSigns)
{
  for (int i = 0; i < mSettings.mFirst; ++i) {
    EXPECT_TRUE(mWindow.HasRoom());
    mWindow.NoteHandedOver();
  }
  EXPECT_FALSE(mWindow.HasRoom());
  mWindow.NoteSign(Millis(0));
  EXPECT_TRUE(mWindow.HasRoom());
}

TEST_F(GivenAnAcceptWindow, OneThatIsNotUsedUpDoesNotGrow)
{
  mWindow.NoteHandedOver();
  mWindow.NoteSign(Millis(0));
  EXPECT_EQ(mWindow.Size(), mSettings.mFirst);
}

class ThatIsUsedUp : public GivenAnAcceptWindow
{
protected:
  ThatIsUsedUp() { UseUp(); }
};

TEST_F(ThatIsUsedUp, ItDoublesWhileTheThreadIsOnTime)
{
  mWindow.NoteSign(Millis(10));
  EXPECT_EQ(mWindow.Size(), 2 * mSettings.mFirst);
}

TEST_F(ThatIsUsedUp, ItGrowsLittleWhileTheThreadIsNeitherOnTimeNorLate)
{
  mWindow.NoteSign(mSettings.mOnTimeDelay);
  EXPECT_GT(mWindow.Size(), mSettings.mFirst);
  EXPECT_LT(mWindow.Size(), 2 * mSettings.mFirst);
}

TEST_F(ThatIsUsedUp, ItNeverExceedsTheMost)
{
  for (int i = 0; i < 10; ++i) {
    UseUp();
    mWindow.NoteSign(Millis(0));
  }
  EXPECT_EQ(mWindow.Size(), mSettings.mMost);
}

class WhoseThreadIsLate : public GivenAnAcceptWindow
{
protected:
  WhoseThreadIsLate() { mWindow.NoteSign(mSettings.mLateDelay); }
};

TEST_F(WhoseThreadIsLate, ItHalves)
{
  EXPECT_EQ(mWindow.Size(), mSettings.mFirst / 2);
}

TEST_F(WhoseThreadIsLate, SomeAreAlwaysHandedOver)
{
  for (int i = 0; i < 10; ++i) {
    mWindow.NoteSign(Millis(4000));
  }
  EXPECT_EQ(mWindow.Size(), mSettings.mLeast);
}

TEST_F(WhoseThreadIsLate, ItGrowsAgainAfterwards)
{
  UseUp();
  mWindow.NoteSign(Millis(0));
  EXPECT_EQ(mWindow.Size(), mSettings.mFirst);
}

} // namespace
} // namespace shuntjunction::state
