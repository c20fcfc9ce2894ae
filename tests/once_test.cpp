// A booking runs at most once: with concurrent callers, lost responses of the
// platform, a platform that is down, and processes killed between two steps.

#include <csignal>
#include <thread>

#include "given_a_booking.h"

namespace shuntjunction::standins {
namespace {

TEST_F(GivenABooking, ItRunsOnceAndIsReplayedFromItsRecord)
{
  const auto first = Send("router-1", Booking("trip-1"));
  EXPECT_EQ(first.mStatus, 200U) << first.mBody;
  EXPECT_NE(first.mBody.find("POST /trips?crew=1"), std::string::npos);
  const auto second = SendUntilReplayed("trip-1");
  EXPECT_EQ(second.mStatus, 200U) << second.mBody;
  EXPECT_EQ(second.mBody, first.mBody);
  EXPECT_EQ(Field(second, "idempotent-replayed"), "true");
  EXPECT_EQ(CountRuns("trip-1"), 1);
}

TEST_F(GivenABooking, TheSameKeyWithAnotherBodyIsAnError)
{
  Send("router-1", Booking("trip-1", "{\"patient\":1}"));
  const auto second = Send("router-2", Booking("trip-1", "{\"patient\":2}"));
  EXPECT_EQ(second.mStatus, 422U) << second.mBody;
  EXPECT_EQ(Field(second, "x-run-state"), "key-reused");
  EXPECT_EQ(CountRuns("trip-1"), 1);
}

TEST_F(GivenABooking, CallersRaceThroughBothRouters)
{
  constexpr int kKeys = 10;
  std::vector<std::thread> callers;
  callers.reserve(4UL * kKeys);
  for (int i = 0; i < 4 * kKeys; ++i) {
    callers.emplace_back([this, i] {
      Send(i % 2 == 0 ? "router-1" : "router-2",
           Booking("race-" + std::to_string(i / 4)));
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  for (int i = 0; i < kKeys; ++i) {
    EXPECT_EQ(CountRuns("race-" + std::to_string(i)), 1);
  }
}

class WhileThePlatformFails : public GivenABooking
{};

TEST_F(WhileThePlatformFails, ARefusalSaysNotRunAndWhenToRetry)
{
  mFleet.SetFaults(R"({"down":true})");
  const auto refused = Send("router-1", Booking("trip-1"));
  EXPECT_EQ(refused.mStatus, 503U) << refused.mBody;
  EXPECT_EQ(Field(refused, "x-run-state"), "not-run");
  EXPECT_NE(Field(refused, "retry-after"), "");
  EXPECT_EQ(CountRuns("trip-1"), 0);
  {
    SCOPED_TRACE("repeatable calls still succeed");
    transport::HttpRequest get;
    get.mTarget = "/services/booking/trips/1";
    EXPECT_EQ(Send("router-1", get).mStatus, 200U);
    ExpectAllComplete(MakeCalls(Calls(4)));
  }
  {
    SCOPED_TRACE("the booking runs when the platform is back");
    mFleet.SetFaults("{}");
    EXPECT_EQ(SendUntilReplayed("trip-1").mStatus, 200U);
    EXPECT_EQ(CountRuns("trip-1"), 1);
  }
}

TEST_F(WhileThePlatformFails, LostResponsesAreResolvedByReadingBack)
{
  mFleet.SetFaults(R"({"lostAnswers":1.0})");
  const auto answer = Send("router-1", Booking("trip-1"));
  EXPECT_EQ(answer.mStatus, 200U) << answer.mBody;
  EXPECT_EQ(CountRuns("trip-1"), 1);
}

TEST_F(WhileThePlatformFails, LostWritesAndResponsesNeverDuplicateABooking)
{
  mFleet.SetFaults(R"({"lostAnswers":0.4,"lostWrites":0.3})");
  for (int i = 0; i < 12; ++i) {
    const std::string key = "trip-" + std::to_string(i);
    for (int again = 0; again < 3; ++again) {
      const auto answer =
        Send(again % 2 == 0 ? "router-1" : "router-2", Booking(key));
      const std::int64_t runs = CountRuns(key);
      EXPECT_LE(runs, 1);
      if (Field(answer, "x-run-state") == "not-run" && again == 0) {
        EXPECT_EQ(runs, 0) << answer.mBody;
      }
      if (answer.mStatus == 200) {
        EXPECT_EQ(runs, 1);
      }
    }
  }
}

class WhileProcessesDie : public GivenABooking
{};

TEST_F(WhileProcessesDie,
       ACompanionKilledAfterForwardingLeavesTheOutcomeUnknown)
{
  transport::HttpResponse answer;
  std::thread caller([&] { answer = Send("router-1", Booking("trip-1")); });
  std::this_thread::sleep_for(state::Millis(50));
  mFleet.Kill("booking-1");
  mFleet.Kill("booking-2");
  caller.join();
  EXPECT_EQ(answer.mStatus, 502U) << answer.mBody;
  EXPECT_EQ(Field(answer, "x-run-state"), "unknown");
  {
    SCOPED_TRACE("it is never run again");
    mFleet.StartCompanion("booking-1", "service", "zone-1", false);
    mFleet.AwaitReady("booking-1");
    const auto again = Send("router-2", Booking("trip-1"));
    EXPECT_NE(again.mStatus, 200U) << again.mBody;
    EXPECT_LE(CountRuns("trip-1"), 1);
  }
}

TEST_F(WhileProcessesDie, ARouterKilledDuringACallLosesNoOutcome)
{
  std::thread caller([&] { Send("router-1", Booking("trip-1")); });
  std::this_thread::sleep_for(state::Millis(50));
  mFleet.Kill("router-1");
  caller.join();
  const auto again = SendUntilReplayed("trip-1");
  EXPECT_EQ(again.mStatus, 200U) << again.mBody;
  EXPECT_EQ(CountRuns("trip-1"), 1);
}

TEST_F(WhileProcessesDie, AResumedCompanionRunsNothingTwice)
{
  mFleet.Signal("booking-1", SIGSTOP);
  std::vector<std::string> keys;
  for (int i = 0; i < 4; ++i) {
    keys.push_back("trip-" + std::to_string(i));
    Send("router-1", Booking(keys.back()));
  }
  mFleet.Signal("booking-1", SIGCONT);
  for (const auto& key : keys) {
    SendUntilReplayed(key);
  }
  for (const auto& key : keys) {
    EXPECT_LE(CountRuns(key), 1);
  }
}

TEST_F(WhileProcessesDie, AnUnmarkedPostIsNotSentAgainAfterALoss)
{
  auto request = Booking("trip-1");
  request.mFields.pop_back(); // Not marked, but a POST is not idempotent.
  transport::HttpResponse answer;
  std::thread caller([&] { answer = Send("router-1", request); });
  std::this_thread::sleep_for(state::Millis(50));
  mFleet.Kill("booking-1");
  mFleet.Kill("booking-2");
  caller.join();
  EXPECT_EQ(answer.mStatus, 502U) << answer.mBody;
  EXPECT_LE(CountRuns("trip-1"), 1);
}

TEST_F(WhileProcessesDie, ACompletionMayBeMarkedToo)
{
  auto call = Call(0);
  call.mIsStream = false;
  call.mFields = { { "idempotency-key", "notes-1" },
                   { "x-not-repeatable", "1" } };
  ExpectAllComplete(MakeCalls({ call }));
  std::this_thread::sleep_for(state::Millis(200));
  call.mRouter = mFleet.Process("router-2").mTraffic;
  ExpectAllComplete(MakeCalls({ call }));
  EXPECT_EQ(mFleet.Metric("router-1", "shuntjunction_prompt_blocks_total") +
              mFleet.Metric("router-2", "shuntjunction_computed_blocks_total"),
            mFleet.Metric("router-1", "shuntjunction_prompt_blocks_total"));
}

} // namespace
} // namespace shuntjunction::standins
