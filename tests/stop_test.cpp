// The story of planned stops and of herds: nothing is cut, nothing new goes to
// who leaves, and who restarts serves at once, the platform down included.

#include <algorithm>
#include <csignal>

#include "given_a_fleet.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

constexpr Millis kHalfWay{ 250 };
constexpr std::size_t kStreams = 18;

class WhenAProcessStops : public GivenAFleet
{};

TEST_F(WhenAProcessStops, ARouterStopsAndCutsNone)
{
  ExpectAllWhole(MakeCalls(
    Calls(kStreams), kHalfWay, [&] { mFleet.Signal("router-1", SIGTERM); }));
  EXPECT_EQ(mFleet.WaitForExit("router-1"), 0);
}

TEST_F(WhenAProcessStops, ARouterTakesRequestsUntilItsBalancerKnows)
{
  mFleet.Signal("router-1", SIGTERM);
  transport::HttpRequest ready;
  ready.mTarget = "/readyz";
  const std::string admin = mFleet.Process("router-1").mAdmin;
  for (int i = 0; i < 100; ++i) {
    const auto answer = Fleet::Call(admin, ready);
    if (!answer || answer->mStatus == 503) {
      break;
    }
  }
  auto call = Call(0);
  call.mRouter = mFleet.Process("router-1").mTraffic;
  call.mTokens = 100; // Longer than the notice: it is cut by neither.
  ExpectAllWhole(MakeCalls({ call }));
  EXPECT_EQ(mFleet.WaitForExit("router-1"), 0);
}

TEST_F(WhenAProcessStops, ACompanionStopsAndCutsNone)
{
  ExpectAllWhole(MakeCalls(
    Calls(kStreams), kHalfWay, [&] { mFleet.Signal("endpoint-2", SIGTERM); }));
  EXPECT_EQ(mFleet.WaitForExit("endpoint-2"), 0);
}

class WithoutTimeToDrain : public GivenAFleet
{
protected:
  WithoutTimeToDrain()
    : GivenAFleet(NoDrain())
  {
  }

  static FleetSettings NoDrain()
  {
    auto settings = Settings();
    settings.mProcessExtra = R"({"stopNoticeMs":1,"drainTimeoutMs":1})";
    return settings;
  }
};

TEST_F(WithoutTimeToDrain, ARouterThatStopsCutsItsStreams)
{
  const auto outcomes = MakeCalls(
    Calls(kStreams), kHalfWay, [&] { mFleet.Signal("router-1", SIGTERM); });
  const auto cut =
    std::count_if(outcomes.begin(), outcomes.end(), [](const auto& aOutcome) {
      return aOutcome.mEnd != CallerEnd::kWhole;
    });
  EXPECT_GT(cut, 0);
}

TEST_F(WhenAProcessStops, AnEndpointThatLeavesGetsNothingNew)
{
  MakeCalls(
    Calls(kStreams), kHalfWay, [&] { mFleet.Signal("endpoint-2", SIGTERM); });
  mFleet.WaitForExit("endpoint-2");
  // The platform's list still calls it live, and its engine still runs.
  const auto executed = [&] {
    transport::HttpRequest audit;
    audit.mTarget = "/engine/audit";
    return Fleet::Call(mFleet.Process("engine-2").mTraffic, audit)->mBody;
  };
  const std::string before = executed();
  ExpectAllWhole(MakeCalls(Calls(kStreams)));
  EXPECT_EQ(executed(), before);
}

TEST_F(WhenAProcessStops, TheListAloneTakesAnEndpointOut)
{
  mFleet.List("endpoint-2", "companion", "zone-2", true);
  const auto usable = [&] {
    return mFleet.Metric("router-1", "shuntjunction_endpoint_usable");
  };
  int polls = 0;
  while (usable() > 4 && polls < 500) {
    ++polls;
  }
  EXPECT_EQ(usable(), 4); // Two engines and both service companions.
  ExpectAllWhole(MakeCalls(Calls(kStreams)));
}

TEST_F(WhenAProcessStops, EverythingStopsInTurnAndNoneIsCut)
{
  ExpectAllWhole(MakeCalls(Calls(kStreams), kHalfWay, [&] {
    mFleet.Signal("router-1", SIGTERM);
    mFleet.Signal("endpoint-1", SIGTERM);
    mFleet.Signal("endpoint-2", SIGTERM);
  }));
}

class WhenAHerdRestarts : public GivenAFleet
{
protected:
  void ExpectServedAtOnce()
  {
    mFleet.RestartRouter("router-1", "zone-1");
    mFleet.RestartRouter("router-2", "zone-2");
    mFleet.AwaitReady("router-1");
    mFleet.AwaitReady("router-2");
    ExpectAllWhole(MakeCalls(Calls(kStreams)));
  }
};

TEST_F(WhenAHerdRestarts, RoutersServeAtOnce)
{
  ExpectServedAtOnce();
}

TEST_F(WhenAHerdRestarts, ThePlatformDownIncluded)
{
  mFleet.SetFaults(R"({"down":true})");
  ExpectServedAtOnce();
}

TEST_F(WhenAHerdRestarts, ThePlatformHungIncluded)
{
  mFleet.SetFaults(R"({"hung":true})");
  ExpectServedAtOnce();
}

} // namespace
} // namespace shuntjunction::standins
