// The story of a process whose descriptors are asked for by everybody.

#include <gtest/gtest.h>

#include "shuntjunction/state/descriptor_budget.h"

namespace shuntjunction::state {

class GivenABudgetOfDescriptors : public ::testing::Test
{
protected:
  DescriptorBudget mBudget{ { 1000, 300 } };
};

TEST_F(GivenABudgetOfDescriptors, CallersGetHalfOfWhatIsNotReserved)
{
  EXPECT_EQ(mBudget.MostCallers(), 350);
}

TEST_F(GivenABudgetOfDescriptors, EndpointsGetWhatCallersLeave)
{
  EXPECT_EQ(mBudget.MostToEndpoints(0), 700);
  EXPECT_EQ(mBudget.MostToEndpoints(200), 500);
  EXPECT_EQ(mBudget.MostToEndpoints(5000), 350);
}

TEST_F(GivenABudgetOfDescriptors, PeersTakeFromBoth)
{
  mBudget.SetPeers(100);
  EXPECT_EQ(mBudget.MostCallers(), 300);
  EXPECT_EQ(mBudget.MostToEndpoints(300), 300);
}

TEST_F(GivenABudgetOfDescriptors, WhoeverHasTooFewStillServesOne)
{
  mBudget.SetPeers(100000);
  EXPECT_EQ(mBudget.MostCallers(), 1);
  EXPECT_EQ(mBudget.MostToEndpoints(1), 1);
}

} // namespace shuntjunction::state
