// A zone is partitioned from the platform, while its processes still reach
// those of other zones.

#include <thread>

#include "given_a_booking.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

class GivenAZoneCutFromThePlatform : public GivenABooking
{
protected:
  GivenAZoneCutFromThePlatform()
    : GivenABooking(WithAPartitionableZone())
  {
  }

  static FleetSettings WithAPartitionableZone()
  {
    auto settings = Settings();
    settings.mPartitionableZone = "zone-2";
    settings.mProcessExtra = R"({"platformTimeoutMs":500,"stopNoticeMs":400})";
    return settings;
  }

  void SetUp() override
  {
    GivenABooking::SetUp();
    // After a change, the next watch stays open for its full 30 s.
    mFleet.Apply("config/models/early", R"({"weights":5})");
    ExpectServed("router-2", "early");
    mFleet.SetFaults(R"({"farCut":true})");
  }

  void Heal() { mFleet.SetFaults("{}"); }

  void ExpectServed(const std::string& aRouter, const std::string& aModel)
  {
    transport::HttpRequest models;
    models.mTarget = "/v1/models";
    const auto has = [&] {
      return Send(aRouter, models).mBody.find('"' + aModel + '"') !=
             std::string::npos;
    };
    for (int i = 0; i < 1000 && !has(); ++i) {
      std::this_thread::sleep_for(Millis(20));
    }
    EXPECT_TRUE(has()) << aRouter;
  }
};

TEST_F(GivenAZoneCutFromThePlatform, StreamsContinueOnBothSides)
{
  ExpectAllComplete(MakeCalls(Calls(18)));
}

TEST_F(GivenAZoneCutFromThePlatform, AChangeArrivesThroughPeers)
{
  mFleet.Apply("config/models/late", R"({"weights":5})");
  ExpectServed("router-1", "late");
  ExpectServed("router-2", "late");
  {
    SCOPED_TRACE("the next one comes from the platform once it is reachable");
    Heal();
    mFleet.Apply("config/models/later", R"({"weights":5})");
    ExpectServed("router-2", "later");
  }
}

TEST_F(GivenAZoneCutFromThePlatform, BookingsRunOnceOrNotAtAll)
{
  for (int i = 0; i < 8; ++i) {
    const std::string key = "trip-" + std::to_string(i);
    const auto answer =
      Send(i % 2 == 0 ? "router-1" : "router-2", Booking(key));
    if (answer.mStatus == 200) {
      EXPECT_EQ(CountRuns(key), 1) << key;
    } else {
      EXPECT_EQ(Field(answer, "x-run-state"), "not-run") << answer.mBody;
      EXPECT_NE(Field(answer, "retry-after"), "") << answer.mBody;
      EXPECT_EQ(CountRuns(key), 0) << key;
    }
  }
  {
    SCOPED_TRACE("each succeeds when it is retried, and none ran twice");
    Heal();
    for (int i = 0; i < 8; ++i) {
      const std::string key = "trip-" + std::to_string(i);
      EXPECT_EQ(SendUntilReplayed(key).mStatus, 200U) << key;
      EXPECT_EQ(CountRuns(key), 1) << key;
    }
  }
}

TEST_F(GivenAZoneCutFromThePlatform, ARouterRestartedInTheZoneServes)
{
  mFleet.RestartRouter("router-2", "zone-2");
  mFleet.AwaitReady("router-2");
  ExpectAllComplete(MakeCalls(Calls(18)));
}

} // namespace
} // namespace shuntjunction::standins
