// Division of a process's file descriptors when demand exceeds the limit.

#include <gtest/gtest.h>

#include "shuntjunction/state/descriptor_budget.h"

namespace shuntjunction::state {

class GivenADescriptorBudget : public ::testing::Test
{
protected:
  DescriptorBudget mBudget{ { 1000, 300 } };
};

TEST_F(GivenADescriptorBudget, CallersGetHalfOfWhatIsNotReserved)
{
  EXPECT_EQ(mBudget.MaxCallers(), 350);
}

TEST_F(GivenADescriptorBudget, EndpointsGetWhatCallersLeave)
{
  EXPECT_EQ(mBudget.MaxEndpointConnections(0), 700);
  EXPECT_EQ(mBudget.MaxEndpointConnections(200), 500);
  EXPECT_EQ(mBudget.MaxEndpointConnections(5000), 350);
}

TEST_F(GivenADescriptorBudget, PeersTakeFromBoth)
{
  mBudget.SetPeers(100);
  EXPECT_EQ(mBudget.MaxCallers(), 300);
  EXPECT_EQ(mBudget.MaxEndpointConnections(300), 300);
}

TEST_F(GivenADescriptorBudget, WithTooFewDescriptorsOneCallerIsStillServed)
{
  mBudget.SetPeers(100000);
  EXPECT_EQ(mBudget.MaxCallers(), 1);
  EXPECT_EQ(mBudget.MaxEndpointConnections(1), 1);
}

} // namespace shuntjunction::state
