#include <gtest/gtest.h>

#include "shuntjunction/coordination/throttled_engine_control.h"

// How a companion's control calls keep to the cooldowns of their engine.

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::Task;

namespace {

/// An engine that refuses the first call and asks for a cooldown.
class RefusingEngine final : public EngineControl
{
public:
  explicit RefusingEngine(std::vector<state::TimePoint>& aCalls)
    : mCalls(aCalls)
  {
  }

  void SetNoticeHandler(NoticeHandler aTake) override
  {
    mTake = std::move(aTake);
  }

  Task<Result<EngineReport>> Report() override
  {
    Answer();
    co_return EngineReport{};
  }
  Task<Result<PartChanges>> Changes(std::uint64_t, Millis) override
  {
    Answer();
    co_return PartChanges{};
  }
  Task<Result<OrderOutcome>> Order(LoadOrder) override
  {
    Answer();
    co_return OrderOutcome::kRefused;
  }

  static constexpr Millis kCooldown{ 50 };

private:
  void Answer()
  {
    state::EndpointNotice notice;
    if (mCalls.empty()) {
      notice.mRetryAfter = { state::RetryAfterForm::kDelay, kCooldown, 0 };
    }
    mCalls.push_back(state::BootClock::now());
    mTake(notice);
  }

  std::vector<state::TimePoint>& mCalls;
  NoticeHandler mTake;
};

} // namespace

class GivenAnEngineThatAskedForACooldown : public ::testing::Test
{
protected:
  GivenAnEngineThatAskedForACooldown()
  {
    Play([](ThrottledEngineControl* aGate) -> Task<void> {
      co_await aGate->Report();
    });
  }

  void Play(Task<void> (*aCall)(ThrottledEngineControl*))
  {
    transport::Spawn(mContext, aCall(&mGate));
    mContext.restart();
    mContext.run();
  }

  void ExpectTheSecondAfterTheCooldown()
  {
    ASSERT_EQ(mCalls.size(), 2U);
    EXPECT_GE(mCalls[1] - mCalls[0], RefusingEngine::kCooldown);
  }

  transport::asio::io_context mContext;
  std::vector<state::TimePoint> mCalls;
  state::SystemClock mClock;
  EventLog mLog{ EventLogSettings{}, mClock };
  ThrottledEngineControl mGate{ std::make_unique<RefusingEngine>(mCalls),
                                mClock,
                                mLog };
};

TEST_F(GivenAnEngineThatAskedForACooldown, ReportsWaitForItsEnd)
{
  Play([](ThrottledEngineControl* aGate) -> Task<void> {
    co_await aGate->Report();
  });
  ExpectTheSecondAfterTheCooldown();
}

TEST_F(GivenAnEngineThatAskedForACooldown, QuestionsForChangesWaitForItsEnd)
{
  Play([](ThrottledEngineControl* aGate) -> Task<void> {
    co_await aGate->Changes(0, Millis(0));
  });
  ExpectTheSecondAfterTheCooldown();
}

TEST_F(GivenAnEngineThatAskedForACooldown, OrdersWaitForItsEnd)
{
  Play([](ThrottledEngineControl* aGate) -> Task<void> {
    LoadOrder order;
    co_await aGate->Order(std::move(order));
  });
  ExpectTheSecondAfterTheCooldown();
}

} // namespace shuntjunction::coordination
