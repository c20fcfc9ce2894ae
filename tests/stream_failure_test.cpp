// Streams while processes die, freeze and come back: every token arrives
// exactly once and in order, or the stream ends in an explicit error.

#include <csignal>

#include <boost/json/object.hpp>

#include "given_a_fleet.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

constexpr Millis kFaultDelay{ 250 };
constexpr std::size_t kStreams = 18;

class WhileStreamsRun : public GivenAFleet
{};

TEST_F(WhileStreamsRun, WithoutAFaultAllAreComplete)
{
  ExpectAllComplete(MakeCalls(Calls(kStreams)));
}

TEST_F(WhileStreamsRun, AnEngineIsKilled)
{
  ExpectAllComplete(
    MakeCalls(Calls(kStreams), kFaultDelay, [&] { mFleet.Kill("engine-2"); }));
}

TEST_F(WhileStreamsRun, ACompanionIsKilled)
{
  ExpectAllComplete(MakeCalls(
    Calls(kStreams), kFaultDelay, [&] { mFleet.Kill("endpoint-2"); }));
}

TEST_F(WhileStreamsRun, TwoEndpointsAreKilledTogether)
{
  ExpectAllComplete(MakeCalls(Calls(kStreams), kFaultDelay, [&] {
    mFleet.Kill("engine-1");
    mFleet.Kill("endpoint-3");
  }));
}

TEST_F(WhileStreamsRun, ACompanionIsFrozenAndResumesWithLateTokens)
{
  const auto outcomes = MakeCalls(Calls(kStreams), kFaultDelay, [&] {
    mFleet.Signal("endpoint-2", SIGSTOP);
  });
  ExpectAllComplete(outcomes);
  mFleet.Signal("endpoint-2", SIGCONT);
  {
    SCOPED_TRACE("it accepts work again");
    ExpectAllComplete(MakeCalls(Calls(kStreams)));
  }
}

TEST_F(WhileStreamsRun, AnEngineIsFrozenForALongTime)
{
  const auto outcomes = MakeCalls(
    Calls(kStreams), kFaultDelay, [&] { mFleet.Signal("engine-2", SIGSTOP); });
  ExpectAllComplete(outcomes);
  mFleet.Signal("engine-2", SIGCONT);
}

TEST_F(WhileStreamsRun, AnEngineRestartsWithAnEmptyCache)
{
  ExpectAllComplete(MakeCalls(Calls(kStreams)));
  mFleet.Kill("engine-2");
  mFleet.StartEngine("engine-2", EngineOptions());
  mFleet.AwaitEngines(kModel, kEndpoints);
  ExpectAllComplete(MakeCalls(Calls(kStreams)));
}

TEST_F(WhileStreamsRun, AllEndpointsDieAndNoStreamLooksComplete)
{
  const auto outcomes = MakeCalls(Calls(kStreams), kFaultDelay, [&] {
    for (const std::string name : { "engine-1", "engine-2", "engine-3" }) {
      mFleet.Kill(name);
    }
  });
  for (const auto& outcome : outcomes) {
    EXPECT_NE(outcome.mEnd, CallEnd::kComplete);
    EXPECT_NE(outcome.mEnd, CallEnd::kWrong);
    if (outcome.mStatus == 200) {
      EXPECT_NE(outcome.mBody.find("\"error\""), std::string::npos)
        << "a started stream must end in an explicit error";
    }
  }
}

TEST_F(WhileStreamsRun, ASlowCallerGetsACompleteAnswerAndDelaysNobody)
{
  auto calls = Calls(6);
  calls[0].mReadPause = Millis(100);
  calls[0].mTokens = 400;
  const auto outcomes = MakeCalls(calls);
  ExpectAllComplete(outcomes);
  EXPECT_LT(outcomes[1].mTotalTime, outcomes[0].mTotalTime);
}

TEST_F(WhileStreamsRun, ADisconnectedCallerFreesItsSlot)
{
  auto call = Call(0);
  call.mTokens = 100000;
  call.mTimeout = Millis(300); // It times out between two reads.
  call.mReadPause = Millis(400);
  {
    boost::asio::io_context context(1);
    const auto run = [](ModelCall aCall) -> transport::Task<void> {
      co_await MakeCall(std::move(aCall));
    };
    transport::Spawn(context, run(call));
    context.run_for(kFaultDelay); // After that, the caller closes its socket.
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
  std::vector<ModelCall> northCalls{ Call(0, "north") };
  ExpectAllComplete(MakeCalls(northCalls));
  const double first = Computed();
  EXPECT_GT(first, 10);
  {
    SCOPED_TRACE("the same team reuses its blocks");
    ExpectAllComplete(MakeCalls(northCalls));
    EXPECT_EQ(Computed(), first);
  }
  {
    SCOPED_TRACE("another team reuses none");
    ExpectAllComplete(MakeCalls({ Call(0, "south") }));
    EXPECT_EQ(Computed(), 2 * first);
  }
}

TEST_F(WithTwoTeams, WithoutASaltTheEngineSharesTheBlocks)
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
  ExpectAllComplete(MakeCalls({ call }));
  const double first = computed();
  EXPECT_GT(first, 10);
  call.mKey = "south-key";
  ExpectAllComplete(MakeCalls({ call }));
  EXPECT_EQ(computed(), first);
}

} // namespace
} // namespace shuntjunction::standins
