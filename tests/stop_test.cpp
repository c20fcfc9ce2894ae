// Planned stops and simultaneous restarts: no stream is interrupted, a draining
// endpoint gets no new requests, and restarted routers serve at once, even
// while the platform is down.

#include <algorithm>
#include <csignal>

#include "given_a_fleet.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

constexpr Millis kFaultDelay{ 250 };
constexpr std::size_t kStreams = 18;

class WhenAProcessStops : public GivenAFleet
{};

TEST_F(WhenAProcessStops, ARouterStopsWithoutCuttingStreams)
{
  ExpectAllComplete(MakeCalls(
    Calls(kStreams), kFaultDelay, [&] { mFleet.Signal("router-1", SIGTERM); }));
  EXPECT_EQ(mFleet.WaitForExit("router-1"), 0);
}

TEST_F(WhenAProcessStops, ARouterAcceptsRequestsDuringItsStopNotice)
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
  call.mTokens = 100; // Outlasts the stop notice, and is not cut.
  ExpectAllComplete(MakeCalls({ call }));
  EXPECT_EQ(mFleet.WaitForExit("router-1"), 0);
}

TEST_F(WhenAProcessStops, ACompanionStopsWithoutCuttingStreams)
{
  ExpectAllComplete(MakeCalls(Calls(kStreams), kFaultDelay, [&] {
    mFleet.Signal("endpoint-2", SIGTERM);
  }));
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
    Calls(kStreams), kFaultDelay, [&] { mFleet.Signal("router-1", SIGTERM); });
  const auto cut =
    std::count_if(outcomes.begin(), outcomes.end(), [](const auto& aOutcome) {
      return aOutcome.mEnd != CallEnd::kComplete;
    });
  EXPECT_GT(cut, 0);
}

TEST_F(WhenAProcessStops, ADrainedEndpointGetsNoNewRequests)
{
  MakeCalls(Calls(kStreams), kFaultDelay, [&] {
    mFleet.Signal("endpoint-2", SIGTERM);
  });
  mFleet.WaitForExit("endpoint-2");
  // The platform still lists it as live, and its engine still runs.
  const auto executed = [&] {
    transport::HttpRequest audit;
    audit.mTarget = "/engine/audit";
    return Fleet::Call(mFleet.Process("engine-2").mTraffic, audit)->mBody;
  };
  const std::string before = executed();
  ExpectAllComplete(MakeCalls(Calls(kStreams)));
  EXPECT_EQ(executed(), before);
}

TEST_F(WhenAProcessStops, TheListAloneExcludesAnEndpoint)
{
  mFleet.Register("endpoint-2", "companion", "zone-2", true);
  const auto usable = [&] {
    return mFleet.Metric("router-1", "shuntjunction_endpoint_usable");
  };
  int polls = 0;
  while (usable() > 4 && polls < 500) {
    ++polls;
  }
  EXPECT_EQ(usable(), 4); // Two engines and both companions of the service.
  ExpectAllComplete(MakeCalls(Calls(kStreams)));
}

TEST_F(WhenAProcessStops, SeveralProcessesStopWithoutCuttingStreams)
{
  ExpectAllComplete(MakeCalls(Calls(kStreams), kFaultDelay, [&] {
    mFleet.Signal("router-1", SIGTERM);
    mFleet.Signal("endpoint-1", SIGTERM);
    mFleet.Signal("endpoint-2", SIGTERM);
  }));
}

class WhenRoutersRestartTogether : public GivenAFleet
{
protected:
  void ExpectRoutersServeAtOnce()
  {
    mFleet.RestartRouter("router-1", "zone-1");
    mFleet.RestartRouter("router-2", "zone-2");
    mFleet.AwaitReady("router-1");
    mFleet.AwaitReady("router-2");
    ExpectAllComplete(MakeCalls(Calls(kStreams)));
  }
};

TEST_F(WhenRoutersRestartTogether, RoutersServeAtOnce)
{
  ExpectRoutersServeAtOnce();
}

TEST_F(WhenRoutersRestartTogether, RoutersServeAtOnceWhileThePlatformIsDown)
{
  mFleet.SetFaults(R"({"down":true})");
  ExpectRoutersServeAtOnce();
}

TEST_F(WhenRoutersRestartTogether, RoutersServeAtOnceWhileThePlatformHangs)
{
  mFleet.SetFaults(R"({"hung":true})");
  ExpectRoutersServeAtOnce();
}

} // namespace
} // namespace shuntjunction::standins
