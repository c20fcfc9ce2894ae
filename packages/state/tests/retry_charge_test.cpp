// Repeats that count against a budget until it is known that they arrived.

#include <gtest/gtest.h>

#include "shuntjunction/state/retry_charge.h"
#include "shuntjunction/state/retry_pool.h"

namespace shuntjunction::state {

namespace {

using namespace std::chrono_literals;

constexpr WindowBudgetSettings kOneRepeat{ 0.0, 1.0, 10s };

} // namespace

class GivenABudgetOfOneRepeat : public ::testing::Test
{
protected:
  TimePoint Now() const { return mClock.Now(); }

  RetryChargePtr Open(RetryGrant aGrant = RetryGrant::kRatio)
  {
    return std::make_shared<RetryCharge>(mBudget, aGrant, Now(), mClock);
  }

  ManualClock mClock;
  std::shared_ptr<WindowBudget> mBudget =
    std::make_shared<WindowBudget>(kOneRepeat, mClock.Now());
};

class WhoseRepeatIsOnItsWay : public GivenABudgetOfOneRepeat
{
protected:
  WhoseRepeatIsOnItsWay()
  {
    EXPECT_TRUE(mBudget->TryOpen(Now()));
    mCharge = Open();
  }

  RetryChargePtr mCharge;
};

TEST_F(WhoseRepeatIsOnItsWay, ItCountsUntilAWindowAfterItSettled)
{
  mClock.Advance(60s);
  EXPECT_FALSE(mBudget->MayRepeat(Now()));
  mCharge.reset();
  mClock.Advance(9s);
  EXPECT_FALSE(mBudget->MayRepeat(Now()));
  mClock.Advance(2s);
  EXPECT_TRUE(mBudget->MayRepeat(Now()));
}

TEST_F(WhoseRepeatIsOnItsWay, ItSettlesWithTheLastSendThatHoldsIt)
{
  UnsettledCharges endpoint;
  endpoint.Add(mCharge, Now());
  mCharge.reset();
  mClock.Advance(11s);
  endpoint.Expire(Now());
  EXPECT_FALSE(mBudget->MayRepeat(Now()));
  {
    SCOPED_TRACE("when its endpoint responds");
    endpoint.Clear();
    mClock.Advance(11s);
    EXPECT_TRUE(mBudget->MayRepeat(Now()));
  }
}

TEST_F(WhoseRepeatIsOnItsWay, AnEndpointThatStaysSilentHoldsItForAWhile)
{
  UnsettledCharges endpoint;
  endpoint.Add(std::move(mCharge), Now());
  mClock.Advance(20s);
  endpoint.Expire(Now());
  EXPECT_TRUE(endpoint.IsEmpty());
}

TEST_F(GivenABudgetOfOneRepeat, OneOfThePoolCountsOnlyIfItArrivesLate)
{
  auto charge = Open(RetryGrant::kPool);
  mClock.Advance(kLatestPooledArrival);
  charge.reset();
  EXPECT_TRUE(mBudget->MayRepeat(Now()));
  charge = Open(RetryGrant::kPool);
  mClock.Advance(kLatestPooledArrival + 1ms);
  charge.reset();
  EXPECT_FALSE(mBudget->MayRepeat(Now()));
}

} // namespace shuntjunction::state
