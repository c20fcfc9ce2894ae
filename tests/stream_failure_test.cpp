// The story of streams while processes die, freeze and come back: each arrives
// whole, once and in order, or says that it did not.

#include <csignal>

#include <boost/json/object.hpp>

#include "given_a_fleet.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

constexpr Millis kHalfWay{ 250 };
constexpr std::size_t kStreams = 18;

class WhileStreamsRun : public GivenAFleet
{};

TEST_F(WhileStreamsRun, WithoutAFaultAllAreWhole)
{
  ExpectAllWhole(MakeCalls(Calls(kStreams)));
}

TEST_F(WhileStreamsRun, AnEngineIsKilled)
{
  ExpectAllWhole(
    MakeCalls(Calls(kStreams), kHalfWay, [&] { mFleet.Kill("engine-2"); }));
}

TEST_F(WhileStreamsRun, ACompanionIsKilled)
{
  ExpectAllWhole(
    MakeCalls(Calls(kStreams), kHalfWay, [&] { mFleet.Kill("endpoint-2"); }));
}

TEST_F(WhileStreamsRun, TwoEndpointsAreKilledTogether)
{
  ExpectAllWhole(MakeCalls(Calls(kStreams), kHalfWay, [&] {
    mFleet.Kill("engine-1");
    mFleet.Kill("endpoint-3");
  }));
}

TEST_F(WhileStreamsRun, ACompanionIsFrozenAndWakesWithLateTokens)
{
  const auto outcomes = MakeCalls(
    Calls(kStreams), kHalfWay, [&] { mFleet.Signal("endpoint-2", SIGSTOP); });
  ExpectAllWhole(outcomes);
  mFleet.Signal("endpoint-2", SIGCONT);
  {
    SCOPED_TRACE("it takes work again");
    ExpectAllWhole(MakeCalls(Calls(kStreams)));
  }
}

TEST_F(WhileStreamsRun, AnEngineIsFrozenForALongTime)
{
  const auto outcomes = MakeCalls(
    Calls(kStreams), kHalfWay, [&] { mFleet.Signal("engine-2", SIGSTOP); });
  ExpectAllWhole(outcomes);
  mFleet.Signal("engine-2", SIGCONT);
}

TEST_F(WhileStreamsRun, AnEngineCrashesAndComesBackEmpty)
{
  ExpectAllWhole(MakeCalls(Calls(kStreams)));
  mFleet.Kill("engine-2");
  mFleet.StartEngine("engine-2", EngineOptions());
  mFleet.AwaitEngines(kModel, kEndpoints);
  ExpectAllWhole(MakeCalls(Calls(kStreams)));
}

TEST_F(WhileStreamsRun, AllEndpointsDieAndNoStreamLooksWhole)
{
  const auto outcomes = MakeCalls(Calls(kStreams), kHalfWay, [&] {
    for (const std::string name : { "engine-1", "engine-2", "engine-3" }) {
      mFleet.Kill(name);
    }
  });
  for (const auto& outcome : outcomes) {
    EXPECT_NE(outcome.mEnd, CallerEnd::kWhole);
    EXPECT_NE(outcome.mEnd, CallerEnd::kWrong);
    if (outcome.mStatus == 200) {
      EXPECT_NE(outcome.mBody.find("\"error\""), std::string::npos)
        << "a begun stream must end in an explicit error";
    }
  }
}

TEST_F(WhileStreamsRun, ASlowCallerGetsItsWholeAnswerAndHoldsUpNobody)
{
  auto calls = Calls(6);
  calls[0].mReadPause = Millis(100);
  calls[0].mTokens = 400;
  const auto outcomes = MakeCalls(calls);
  ExpectAllWhole(outcomes);
  EXPECT_LT(outcomes[1].mWholeTime, outcomes[0].mWholeTime);
}

TEST_F(WhileStreamsRun, ACallerThatGoesAwayFreesItsSlot)
{
  auto call = Call(0);
  call.mTokens = 100000;
  call.mTimeout = Millis(300); // It gives up between two reads.
  call.mReadPause = Millis(400);
  {
    boost::asio::io_context context(1);
    const auto run = [](CallerCall aCall) -> transport::Task<void> {
      co_await MakeCall(std::move(aCall));
    };
    transport::Spawn(context, run(call));
    context.run_for(kHalfWay); // Then the caller and its socket are gone.
  }
  const auto running = [&] {
    double sum = 0;
    for (std::size_t i = 1; i <= kEndpoints; ++i) {
      sum += mFleet.Metric("endpoint-" + std::to_string(i),
                           "shuntjunction_companion_running");
    }
    return sum;
  };
  int polls = 0;
  while (running() > 0 && polls < 500) {
    ++polls;
  }
  EXPECT_EQ(running(), 0);
}

class WithTwoTeams : public GivenAFleet
{
protected:
  double Computed()
  {
    return mFleet.Metric("router-1", "shuntjunction_computed_blocks_total") +
           mFleet.Metric("router-2", "shuntjunction_computed_blocks_total");
  }
};

TEST_F(WithTwoTeams, ByteIdenticalPromptsAreComputedForEach)
{
  std::vector<CallerCall> one{ Call(0, "north") };
  ExpectAllWhole(MakeCalls(one));
  const double first = Computed();
  EXPECT_GT(first, 10);
  {
    SCOPED_TRACE("the same team finds its blocks");
    ExpectAllWhole(MakeCalls(one));
    EXPECT_EQ(Computed(), first);
  }
  {
    SCOPED_TRACE("another team finds nothing");
    ExpectAllWhole(MakeCalls({ Call(0, "south") }));
    EXPECT_EQ(Computed(), 2 * first);
  }
}

TEST_F(WithTwoTeams, WithoutASaltTheEngineWouldShareThem)
{
  const auto computed = [&] {
    transport::HttpRequest audit;
    audit.mTarget = "/engine/audit";
    const auto answer = Fleet::Call(mFleet.Process("engine-1").mTraffic, audit);
    const auto value = state::ParseJson(answer->mBody, "audit");
    return value->as_object().at("computedBlocks").to_number<double>();
  };
  auto call = Call(0, "north");
  call.mRouter = mFleet.Process("engine-1").mTraffic;
  ExpectAllWhole(MakeCalls({ call }));
  const double first = computed();
  EXPECT_GT(first, 10);
  call.mKey = "south-key";
  ExpectAllWhole(MakeCalls({ call }));
  EXPECT_EQ(computed(), first);
}

} // namespace
} // namespace shuntjunction::standins
