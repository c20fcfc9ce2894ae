#include "shuntjunction/state/unusable_input.h"

#include <gtest/gtest.h>

// Tests which input is awaited further though nothing of it can be used yet.

namespace shuntjunction::state {
namespace {

class GivenInputWithoutUse : public ::testing::Test
{
protected:
  /// Adds pieces of a byte; returns how many were accepted.
  int Trickle(int aPieces, Millis aPause)
  {
    int accepted = 0;
    while (accepted < aPieces && mInput.Add(1, mNow)) {
      ++accepted;
      mNow += aPause;
    }
    return accepted;
  }

  TimePoint mNow{ std::chrono::hours(1) };
  UnusableInput mInput{ { 1000, Millis(3000), 16 } };
};

TEST_F(GivenInputWithoutUse, ItsBytesAreLimited)
{
  EXPECT_TRUE(mInput.Add(1000, mNow));
  EXPECT_FALSE(mInput.Add(1, mNow));
}

TEST_F(GivenInputWithoutUse, OneThatTricklesIsRefusedAfterSomeTime)
{
  EXPECT_EQ(Trickle(900, Millis(10)), 301);
}

// Guards against taking a sender that stood still for one that trickles.
TEST_F(GivenInputWithoutUse, OneThatPausesIsAwaited)
{
  EXPECT_EQ(Trickle(16, Millis(5000)), 16);
}

TEST_F(GivenInputWithoutUse, OnceUsedItNoLongerCounts)
{
  EXPECT_TRUE(mInput.Add(1000, mNow));
  mInput.Reset();
  EXPECT_EQ(Trickle(100, Millis(10)), 100);
}

} // namespace
} // namespace shuntjunction::state
