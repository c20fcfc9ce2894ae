#include <gtest/gtest.h>

#include "shuntjunction/coordination/throttled_engine_control.h"

// Control calls of a companion wait for the end of cooldowns that the engine
// requests.

namespace shuntjunction::coordination {

using state::Millis;
using state::Result;
using transport::Task;

namespace {

/// An engine that requests a cooldown in its first response.
class EngineWithCooldown final : public EngineControl
{
public:
  explicit EngineWithCooldown(std::vector<state::TimePoint>& aCalls)
    : mCalls(aCalls)
  {
  }

  void SetNoticeHandler(NoticeHandler aHandler) override
  {
    mNoticeHandler = std::move(aHandler);
  }

  Task<Result<EngineReport>> Report() override
  {
    Respond();
    co_return EngineReport{};
  }
  Task<Result<PartChanges>> Changes(std::uint64_t, Millis) override
  {
    Respond();
    co_return PartChanges{};
  }
  Task<Result<OrderOutcome>> Order(LoadOrder) override
  {
    Respond();
    co_return OrderOutcome::kRefused;
  }

  static constexpr Millis kCooldown{ 50 };

private:
  void Respond()
  {
    state::EndpointNotice notice;
    if (mCalls.empty()) {
      notice.mRetryAfter = { state::RetryAfterForm::kDelay, kCooldown, 0 };
    }
    mCalls.push_back(state::BootClock::now());
    mNoticeHandler(notice);
  }

  std::vector<state::TimePoint>& mCalls;
  NoticeHandler mNoticeHandler;
};

} // namespace

class GivenAnEngineThatRequestedACooldown : public ::testing::Test
{
protected:
  GivenAnEngineThatRequestedACooldown()
  {
    RunCall([](ThrottledEngineControl* aControl) -> Task<void> {
      co_await aControl->Report();
    });
  }

  void RunCall(Task<void> (*aCall)(ThrottledEngineControl*))
  {
    transport::Spawn(mContext, aCall(&mControl));
    mContext.restart();
    mContext.run();
  }

  void ExpectTheSecondCallAfterTheCooldown()
  {
    ASSERT_EQ(mCalls.size(), 2U);
    EXPECT_GE(mCalls[1] - mCalls[0], EngineWithCooldown::kCooldown);
  }

  transport::asio::io_context mContext;
  std::vector<state::TimePoint> mCalls;
  state::SystemClock mClock;
  EventLog mLog{ EventLogSettings{}, mClock };
  ThrottledEngineControl mControl{ std::make_unique<EngineWithCooldown>(mCalls),
                                   mClock,
                                   mLog };
};

TEST_F(GivenAnEngineThatRequestedACooldown, ReportsWaitForItsEnd)
{
  RunCall([](ThrottledEngineControl* aControl) -> Task<void> {
    co_await aControl->Report();
  });
  ExpectTheSecondCallAfterTheCooldown();
}

TEST_F(GivenAnEngineThatRequestedACooldown, ChangeQueriesWaitForItsEnd)
{
  RunCall([](ThrottledEngineControl* aControl) -> Task<void> {
    co_await aControl->Changes(0, Millis(0));
  });
  ExpectTheSecondCallAfterTheCooldown();
}

TEST_F(GivenAnEngineThatRequestedACooldown, OrdersWaitForItsEnd)
{
  RunCall([](ThrottledEngineControl* aControl) -> Task<void> {
    LoadOrder order;
    co_await aControl->Order(std::move(order));
  });
  ExpectTheSecondCallAfterTheCooldown();
}

} // namespace shuntjunction::coordination
