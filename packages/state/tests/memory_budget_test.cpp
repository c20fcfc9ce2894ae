// Tests the division of a process's memory.

#include "shuntjunction/state/memory_budget.h"

#include <gtest/gtest.h>

namespace shuntjunction::state {
namespace {

/// A process of 1,000 bytes: 800 may be reserved, 900 used.
class GivenAMemoryBudget : public ::testing::Test
{
protected:
  MemoryBudget mBudget{ { 1000, 0.2, 0.1, 0.1 } };
};

TEST_F(GivenAMemoryBudget, ReservationsStayBelowTheLimit)
{
  EXPECT_TRUE(mBudget.Reserve(500));
  EXPECT_TRUE(mBudget.Reserve(300));
  EXPECT_FALSE(mBudget.Reserve(1));
  mBudget.Release(300);
  EXPECT_TRUE(mBudget.Reserve(300));
}

TEST_F(GivenAMemoryBudget, AReservationIsReturnedWhenItEnds)
{
  {
    MemoryReservation reservation(mBudget);
    EXPECT_TRUE(reservation.Resize(800));
    EXPECT_FALSE(mBudget.HasRoom(1));
    MemoryReservation other(std::move(reservation));
    EXPECT_EQ(other.Bytes(), 800);
  }
  EXPECT_EQ(mBudget.Reserved(), 0);
}

TEST_F(GivenAMemoryBudget, AReservationThatCannotGrowStaysAsItIs)
{
  MemoryReservation reservation(mBudget);
  EXPECT_TRUE(reservation.Resize(400));
  EXPECT_FALSE(reservation.Resize(801));
  EXPECT_EQ(mBudget.Reserved(), 400);
  EXPECT_TRUE(reservation.Resize(100));
  EXPECT_EQ(mBudget.Reserved(), 100);
}

class WithMoreUsedThanReserved : public GivenAMemoryBudget
{
protected:
  WithMoreUsedThanReserved()
  {
    EXPECT_TRUE(mBudget.Reserve(200));
    mBudget.NoteUsed(700);
  }
};

TEST_F(WithMoreUsedThanReserved, TheUseBoundsFurtherReservations)
{
  EXPECT_TRUE(mBudget.Reserve(200));
  EXPECT_FALSE(mBudget.Reserve(1));
}

TEST_F(WithMoreUsedThanReserved, AMeasurementCountsWhatWasReservedBefore)
{
  EXPECT_TRUE(mBudget.Reserve(200));
  mBudget.NoteUsed(750);
  EXPECT_TRUE(mBudget.Reserve(150));
  EXPECT_FALSE(mBudget.Reserve(1));
}

TEST_F(WithMoreUsedThanReserved, ItIsIgnoredOnceLittleIsReserved)
{
  mBudget.NoteUsed(2000);
  EXPECT_FALSE(mBudget.Reserve(1));
  mBudget.Release(150);
  EXPECT_TRUE(mBudget.Reserve(1));
}

} // namespace
} // namespace shuntjunction::state
