// Admission control: classes, teams, deadlines, shedding, waiting for a prefix
// that another request computes, and the team limits and retry budgets of
// routers.

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "shuntjunction/state/admission_queue.h"
#include "shuntjunction/state/retry_budget.h"
#include "shuntjunction/state/team_limiter.h"

namespace shuntjunction::state {
namespace {

class GivenAQueue : public ::testing::Test
{
protected:
  AdmissionTicket Ticket(Priority aPriority, const std::string& aTeam = "t")
  {
    AdmissionTicket ticket;
    ticket.mId = ++mLastId;
    ticket.mPriority = aPriority;
    ticket.mTeam = aTeam;
    ticket.mCostMicros = 1000;
    ticket.mArrived = mClock.Now();
    ticket.mDeadline = mClock.Now() + std::chrono::seconds(10);
    return ticket;
  }

  std::vector<AdmissionRefusal> Enqueue(const AdmissionTicket& aTicket)
  {
    return mQueue.Enqueue(aTicket, mClock.Now());
  }

  std::uint64_t Next()
  {
    const auto ticket = mQueue.Next(mClock.Now());
    return ticket ? ticket->mId : 0;
  }

  ManualClock mClock;
  std::uint64_t mLastId = 0;
  AdmissionQueue mQueue{ { .mSlots = 2, .mMaxQueued = 4 } };
};

TEST_F(GivenAQueue, NoMoreRequestsRunThanThereAreSlots)
{
  Enqueue(Ticket(Priority::kOrdinary));
  Enqueue(Ticket(Priority::kOrdinary));
  Enqueue(Ticket(Priority::kOrdinary));
  EXPECT_EQ(Next(), 1U);
  EXPECT_EQ(Next(), 2U);
  EXPECT_EQ(Next(), 0U);
  mQueue.Remove(1);
  EXPECT_EQ(Next(), 3U);
}

TEST_F(GivenAQueue, UrgentRequestsRunBeforeOrdinaryOnes)
{
  Enqueue(Ticket(Priority::kOrdinary));
  Enqueue(Ticket(Priority::kPriority));
  Enqueue(Ticket(Priority::kUrgent));
  EXPECT_EQ(Next(), 3U);
  EXPECT_EQ(Next(), 2U);
}

TEST_F(GivenAQueue, ButOrdinaryRequestsDoNotStarve)
{
  Enqueue(Ticket(Priority::kOrdinary));
  int dispatches = 0;
  std::uint64_t admitted = 0;
  while (admitted != 1 && dispatches < 20) {
    Enqueue(Ticket(Priority::kUrgent));
    admitted = Next();
    mQueue.Remove(admitted);
    ++dispatches;
  }
  EXPECT_EQ(admitted, 1U);
}

TEST_F(GivenAQueue, TheWaitIsTheCostOfTheWorkAhead)
{
  EXPECT_EQ(mQueue.WaitMicros(Priority::kOrdinary), 0);
  Enqueue(Ticket(Priority::kOrdinary));
  Enqueue(Ticket(Priority::kUrgent));
  EXPECT_EQ(mQueue.WaitMicros(Priority::kUrgent), 1000);
  EXPECT_EQ(mQueue.WaitMicros(Priority::kOrdinary), 2000);
  Next();
  EXPECT_EQ(mQueue.WaitMicros(Priority::kOrdinary), 2000);
  mQueue.NoteFirstToken(2);
  EXPECT_EQ(mQueue.WaitMicros(Priority::kOrdinary), 1000);
}

class ThatIsFull : public GivenAQueue
{
protected:
  void SetUp() override
  {
    for (int i = 0; i < 4; ++i) {
      EXPECT_TRUE(Enqueue(Ticket(Priority::kOrdinary)).empty());
      mClock.Advance(Millis(1));
    }
  }
};

TEST_F(ThatIsFull, AnOrdinaryRequestIsRefusedAtOnceWithARetryDelay)
{
  const auto refusals = Enqueue(Ticket(Priority::kOrdinary));
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].mId, 5U);
  EXPECT_EQ(refusals[0].mReason, RefusalReason::kQueueFull);
  EXPECT_GT(refusals[0].mRetryAfter, Millis(0));
}

TEST_F(ThatIsFull, AnUrgentRequestShedsTheNewestOrdinaryOne)
{
  const auto refusals = Enqueue(Ticket(Priority::kUrgent));
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].mId, 4U);
  EXPECT_EQ(refusals[0].mReason, RefusalReason::kShed);
  EXPECT_EQ(Next(), 5U);
}

TEST_F(ThatIsFull, RefuseAllEmptiesTheQueue)
{
  EXPECT_EQ(mQueue.RefuseAll(RefusalReason::kLeaving).size(), 4U);
  EXPECT_EQ(mQueue.Queued(), 0U);
  EXPECT_EQ(mQueue.WaitMicros(Priority::kOrdinary), 0);
}

class WithDeadlines : public GivenAQueue
{};

TEST_F(WithDeadlines, ARequestThatWouldMissItsDeadlineIsRefusedOnArrival)
{
  auto slow = Ticket(Priority::kUrgent);
  slow.mCostMicros = 5000000;
  Enqueue(slow);
  auto late = Ticket(Priority::kUrgent);
  late.mDeadline = mClock.Now() + std::chrono::seconds(1);
  const auto refusals = Enqueue(late);
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].mReason, RefusalReason::kTooLate);
  {
    SCOPED_TRACE("a request with a later deadline is queued");
    EXPECT_TRUE(Enqueue(Ticket(Priority::kUrgent)).empty());
    EXPECT_EQ(mQueue.Queued(), 2U);
  }
}

TEST_F(WithDeadlines, AQueuedRequestExpiresAtItsDeadline)
{
  Enqueue(Ticket(Priority::kOrdinary));
  EXPECT_TRUE(mQueue.Expire(mClock.Now()).empty());
  EXPECT_EQ(mQueue.NextWake(mClock.Now()),
            mClock.Now() + std::chrono::seconds(10));
  mClock.Advance(std::chrono::seconds(10));
  ASSERT_EQ(mQueue.Expire(mClock.Now()).size(), 1U);
  EXPECT_EQ(mQueue.Queued(), 0U);
}

class WithTeams : public GivenAQueue
{
protected:
  WithTeams() { mQueue = AdmissionQueue({ .mSlots = 1, .mMaxQueued = 1000 }); }
};

TEST_F(WithTeams, OneWithManyQueuedRequestsDoesNotDelayAnother)
{
  for (int i = 0; i < 100; ++i) {
    Enqueue(Ticket(Priority::kOrdinary, "large"));
  }
  const auto small = Ticket(Priority::kOrdinary, "small");
  Enqueue(small);
  int before = 0;
  for (std::uint64_t admitted = Next(); admitted != small.mId;
       admitted = Next()) {
    mQueue.Remove(admitted);
    ++before;
  }
  EXPECT_LE(before, 2);
}

class WithOnePrefix : public GivenAQueue
{
protected:
  WithOnePrefix()
  {
    mQueue = AdmissionQueue({ .mSlots = 8, .mMaxPrefixWait = Millis(400) });
  }

  AdmissionTicket Missing(PrefixHash aPrefix)
  {
    auto ticket = Ticket(Priority::kOrdinary);
    ticket.mMissingPrefix = aPrefix;
    return ticket;
  }
};

TEST_F(WithOnePrefix, OthersWaitForTheFirstToComputeIt)
{
  Enqueue(Missing(9));
  Enqueue(Missing(9));
  Enqueue(Missing(10));
  EXPECT_EQ(Next(), 1U);
  EXPECT_EQ(Next(), 3U);
  EXPECT_EQ(Next(), 0U);
  mQueue.NoteFirstToken(1);
  EXPECT_EQ(Next(), 2U);
}

TEST_F(WithOnePrefix, ButOnlyForABoundedTime)
{
  Enqueue(Missing(9));
  Enqueue(Missing(9));
  EXPECT_EQ(Next(), 1U);
  EXPECT_EQ(mQueue.NextWake(mClock.Now()), mClock.Now() + Millis(400));
  mClock.Advance(Millis(400));
  EXPECT_EQ(Next(), 2U);
}

TEST_F(WithOnePrefix, IfTheFirstFailsTheNextComputesIt)
{
  Enqueue(Missing(9));
  Enqueue(Missing(9));
  EXPECT_EQ(Next(), 1U);
  mQueue.Remove(1);
  EXPECT_EQ(Next(), 2U);
}

/// Any sequence of arrivals, dispatches, completions and expirations.
RC_GTEST_PROP(GeneratedArrivals,
              NoRequestIsLostOrRunsTwiceAndTheTotalsMatch,
              (const std::vector<std::uint8_t>& aSchedule))
{
  ManualClock clock;
  AdmissionQueue queue({ .mSlots = 3, .mMaxQueued = 5 });
  std::set<std::uint64_t> waiting;
  std::set<std::uint64_t> running;
  std::uint64_t last = 0;
  const auto refuse = [&](const std::vector<AdmissionRefusal>& aRefusals) {
    for (const auto& refusal : aRefusals) {
      RC_ASSERT(waiting.erase(refusal.mId) == 1U);
      RC_ASSERT(refusal.mRetryAfter > Millis(0));
    }
  };
  for (const std::uint8_t step : aSchedule) {
    AdmissionTicket ticket;
    switch (step % 6) {
      case 0:
      case 1:
      case 2:
        ticket.mId = ++last;
        ticket.mPriority = static_cast<Priority>(step / 6 % 3);
        ticket.mTeam = std::to_string(step / 18 % 2);
        ticket.mCostMicros = step;
        ticket.mMissingPrefix = step / 36 % 3;
        ticket.mArrived = clock.Now();
        ticket.mDeadline = clock.Now() + Millis(50 + step);
        waiting.insert(ticket.mId);
        refuse(queue.Enqueue(ticket, clock.Now()));
        break;
      case 3:
        if (const auto next = queue.Next(clock.Now())) {
          RC_ASSERT(waiting.erase(next->mId) == 1U);
          running.insert(next->mId);
        }
        break;
      case 4:
        if (!running.empty()) {
          queue.Remove(*running.begin());
          running.erase(running.begin());
        }
        break;
      default:
        clock.Advance(Millis(step));
        refuse(queue.Expire(clock.Now()));
        break;
    }
    RC_ASSERT(queue.Queued() == waiting.size());
    RC_ASSERT(queue.Running() == running.size());
    RC_ASSERT(running.size() <= 3U);
  }
  refuse(queue.RefuseAll(RefusalReason::kLeaving));
  for (const auto id : running) {
    queue.Remove(id);
  }
  RC_ASSERT(waiting.empty());
  RC_ASSERT(queue.WaitMicros(Priority::kOrdinary) == 0);
}

class GivenATeamLimit : public ::testing::Test
{
protected:
  int Granted(int aRequests, std::size_t aRouters)
  {
    int admitted = 0;
    for (int i = 0; i < aRequests; ++i) {
      const Millis wait =
        mLimiter.Take("t", { 100.0, 20.0 }, aRouters, mClock.Now());
      admitted += wait == Millis(0);
      mLastWait = wait;
      mClock.Advance(Millis(1));
    }
    return admitted;
  }

  ManualClock mClock;
  TeamLimiter mLimiter{ mClock.Now() };
  Millis mLastWait{ 0 };
};

// A router that was restarted granted its share of the burst again.
TEST_F(GivenATeamLimit, ARouterThatJustStartedGrantsNoBurst)
{
  EXPECT_NEAR(Granted(1000, 1), 100, 2);
}

class OfRoutersThatRunForLong : public GivenATeamLimit
{
protected:
  OfRoutersThatRunForLong() { mClock.Advance(std::chrono::hours(1)); }
};

TEST_F(OfRoutersThatRunForLong, OneRouterGrantsAllOfIt)
{
  EXPECT_NEAR(Granted(1000, 1), 120, 2);
  EXPECT_GT(mLastWait, Millis(0));
  EXPECT_LE(mLastWait, Millis(10));
}

TEST_F(OfRoutersThatRunForLong, EachOfManyRoutersGrantsItsShare)
{
  EXPECT_NEAR(Granted(1000, 4), 30, 2);
}

TEST_F(OfRoutersThatRunForLong, WithoutALimitEverythingIsGranted)
{
  for (int i = 0; i < 1000; ++i) {
    EXPECT_EQ(mLimiter.Take("u", {}, 1, mClock.Now()), Millis(0));
  }
}

TEST(GivenARetryBudget, RetriesAreAShareOfFirstAttempts)
{
  ManualClock clock;
  RetryBudget budget({ 0.2, 1.0, 10.0 }, clock.Now());
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    budget.Earn(clock.Now());
    // Half of the endpoints fail: every other request asks for three retries.
    for (int want = 0; want < 3 * (i % 2); ++want) {
      retries += budget.Spend(clock.Now());
    }
    clock.Advance(Millis(1));
  }
  EXPECT_LE(retries, 10 + kRequests / 5 + 1);
  EXPECT_GE(retries, kRequests / 5);
}

} // namespace
} // namespace shuntjunction::state
