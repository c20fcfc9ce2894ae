// Tests the estimate of the memory that a request needs.

#include "shuntjunction/state/memory_need.h"

#include <gtest/gtest.h>

namespace shuntjunction::state {
namespace {

class GivenRequestsOfUnknownSize : public ::testing::Test
{
protected:
  MemoryNeed mNeed{ { 100, 800 } };
};

TEST_F(GivenRequestsOfUnknownSize, TheLeastIsExpected)
{
  EXPECT_EQ(mNeed.Expected(), 100);
}

TEST_F(GivenRequestsOfUnknownSize, ALargerOneIsExpectedAgainAtOnce)
{
  mNeed.Note(300);
  EXPECT_EQ(mNeed.Expected(), 300);
}

TEST_F(GivenRequestsOfUnknownSize, NeverMoreThanTheMost)
{
  mNeed.Note(5000);
  EXPECT_EQ(mNeed.Expected(), 800);
}

class AmongSmallOnes : public GivenRequestsOfUnknownSize
{
protected:
  AmongSmallOnes() { mNeed.Note(500); }
};

TEST_F(AmongSmallOnes, ALargeOneIsExpectedForAWhile)
{
  for (int i = 0; i < 8; ++i) {
    mNeed.Note(50);
  }
  EXPECT_GT(mNeed.Expected(), 300);
}

TEST_F(AmongSmallOnes, ItIsForgottenInTheEnd)
{
  for (int i = 0; i < 100; ++i) {
    mNeed.Note(50);
  }
  EXPECT_LT(mNeed.Expected(), 110);
}

} // namespace
} // namespace shuntjunction::state
