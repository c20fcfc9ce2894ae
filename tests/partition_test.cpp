// The story of a zone that is cut off from the platform, while its processes
// still reach the others.

#include <thread>

#include "given_a_booking.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

class GivenAZoneCutFromThePlatform : public GivenABooking
{
protected:
  GivenAZoneCutFromThePlatform()
    : GivenABooking(WithAFarZone())
  {
  }

  static FleetSettings WithAFarZone()
  {
    auto settings = Settings();
    settings.mFarZone = "zone-2";
    settings.mProcessExtra = R"({"platformTimeoutMs":500,"stopNoticeMs":400})";
    return settings;
  }

  void SetUp() override
  {
    GivenABooking::SetUp();
    // Once a change has come, the next watch waits its whole 30 s.
    mFleet.Apply("config/models/early", R"({"weights":5})");
    ExpectInForce("router-2", "early");
    mFleet.SetFaults(R"({"farCut":true})");
  }

  void Heal() { mFleet.SetFaults("{}"); }

  void ExpectInForce(const std::string& aRouter, const std::string& aModel)
  {
    transport::HttpRequest models;
    models.mTarget = "/v1/models";
    const auto has = [&] {
      return Ask(aRouter, models).mBody.find('"' + aModel + '"') !=
             std::string::npos;
    };
    for (int i = 0; i < 1000 && !has(); ++i) {
      std::this_thread::sleep_for(Millis(20));
    }
    EXPECT_TRUE(has()) << aRouter;
  }
};

TEST_F(GivenAZoneCutFromThePlatform, StreamsGoOnOnBothSides)
{
  ExpectAllWhole(MakeCalls(Calls(18)));
}

TEST_F(GivenAZoneCutFromThePlatform, AChangeArrivesThroughPeers)
{
  mFleet.Apply("config/models/late", R"({"weights":5})");
  ExpectInForce("router-1", "late");
  ExpectInForce("router-2", "late");
  {
    SCOPED_TRACE("and the next one, once it is healed, from the platform");
    Heal();
    mFleet.Apply("config/models/later", R"({"weights":5})");
    ExpectInForce("router-2", "later");
  }
}

TEST_F(GivenAZoneCutFromThePlatform, BookingsRunOnceOrAreTrulyNotRun)
{
  for (int i = 0; i < 8; ++i) {
    const std::string key = "trip-" + std::to_string(i);
    const auto answer = Ask(i % 2 == 0 ? "router-1" : "router-2", Booking(key));
    if (answer.mStatus == 200) {
      EXPECT_EQ(Runs(key), 1) << key;
    } else {
      EXPECT_EQ(Field(answer, "x-run-state"), "not-run") << answer.mBody;
      EXPECT_NE(Field(answer, "retry-after"), "") << answer.mBody;
      EXPECT_EQ(Runs(key), 0) << key;
    }
  }
  {
    SCOPED_TRACE("each is answered on its next try, and none ran twice");
    Heal();
    for (int i = 0; i < 8; ++i) {
      const std::string key = "trip-" + std::to_string(i);
      EXPECT_EQ(AskUntilReplayed(key).mStatus, 200U) << key;
      EXPECT_EQ(Runs(key), 1) << key;
    }
  }
}

TEST_F(GivenAZoneCutFromThePlatform, ARouterThatRestartsThereServes)
{
  mFleet.RestartRouter("router-2", "zone-2");
  mFleet.AwaitReady("router-2");
  ExpectAllWhole(MakeCalls(Calls(18)));
}

} // namespace
} // namespace shuntjunction::standins
