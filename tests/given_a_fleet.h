#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "caller.h"
#include "fleet.h"

/// Fixture of the process tests.
namespace shuntjunction::standins {

/// Two routers, three endpoints of one model, a service with two companions and
/// two teams.
class GivenAFleet : public ::testing::Test
{
protected:
  explicit GivenAFleet(const FleetSettings& aSettings = Settings())
    : mFleet(aSettings)
  {
  }

  static constexpr const char* kModel = "crew-notes";
  static constexpr std::size_t kEndpoints = 3;
  static constexpr std::array kDaemons{ "router-1",   "router-2",
                                        "endpoint-1", "endpoint-2",
                                        "endpoint-3", "booking-1",
                                        "booking-2" };

  static FleetSettings Settings()
  {
    FleetSettings settings;
    settings.mBinaries = SHUNTJUNCTION_BINARIES;
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    settings.mFolder = settings.mBinaries + "/process-tests/" +
                       info->test_suite_name() + "." + info->name();
    settings.mProcessExtra =
      R"({"platformTimeoutMs":500,"stopNoticeMs":400,"logLevel":"debug"})";
    settings.mRouterExtra = R"({"defaultDeadlineMs":20000})";
    settings.mCompanionExtra = R"({"claimTimeoutMs":1500})";
    return settings;
  }

  void SetUp() override
  {
    mFleet.StartPlatform();
    for (const std::string team : { "north", "south" }) {
      mFleet.Apply("config/teams/" + team,
                   R"({"keyDigests":[")" + KeyDigest(team + "-key") + R"("]})");
    }
    mFleet.Apply(std::string("config/models/") + kModel, R"({"weights":1})");
    mFleet.Apply("config/services/booking", R"({"urgency":"urgent"})");
    for (std::size_t i = 1; i <= 2; ++i) {
      mFleet.Apply("config/endpoints/booking-" + std::to_string(i),
                   R"({"service":"booking"})");
    }
    for (std::size_t i = 1; i <= kEndpoints; ++i) {
      const std::string number = std::to_string(i);
      mFleet.Apply("config/endpoints/endpoint-" + number,
                   R"({"model":"crew-notes"})");
      mFleet.StartEngine("engine-" + number, EngineOptions());
      mFleet.StartCompanion(
        "endpoint-" + number, "engine-" + number, "zone-" + number);
    }
    // Two companions for one service: either may forward a call.
    mFleet.StartService("service", 100);
    mFleet.StartCompanion("booking-1", "service", "zone-1", false);
    mFleet.StartCompanion("booking-2", "service", "zone-2", false);
    mFleet.StartRouter("router-1", "zone-1");
    mFleet.StartRouter("router-2", "zone-2");
    mFleet.AwaitEngines(kModel, kEndpoints);
    for (const std::string name : kDaemons) {
      mFleet.AwaitReady(name);
    }
  }

  virtual std::vector<std::string> EngineOptions()
  {
    return { "--micros-per-token", "10000" };
  }

  /// A call whose prompt begins with a long shared text.
  ModelCall Call(std::size_t aNumber, const std::string& aTeam = "north")
  {
    ModelCall call;
    call.mRouter =
      mFleet.Process(aNumber % 2 == 0 ? "router-1" : "router-2").mTraffic;
    call.mKey = aTeam + "-key";
    call.mModel = kModel;
    call.mTokens = 60;
    call.mLevels = { std::string(4000, 'r'),
                     "patient " + std::to_string(aNumber % 4) +
                       std::string(1500, 'p'),
                     "trip " + std::to_string(aNumber) };
    return call;
  }

  std::vector<ModelCall> Calls(std::size_t aCount)
  {
    std::vector<ModelCall> calls;
    for (std::size_t i = 0; i < aCount; ++i) {
      calls.push_back(Call(i, i % 3 == 0 ? "south" : "north"));
    }
    return calls;
  }

  static void ExpectAllComplete(const std::vector<CallOutcome>& aOutcomes)
  {
    for (std::size_t i = 0; i < aOutcomes.size(); ++i) {
      EXPECT_EQ(aOutcomes[i].mEnd, CallEnd::kComplete)
        << "call " << i << " ended " << kCallEndNames.Name(aOutcomes[i].mEnd)
        << " with status " << aOutcomes[i].mStatus << ": "
        << aOutcomes[i].mBody;
    }
  }

  /// Sends an HTTP request with a team's key to a router. Without a response,
  /// returns status 0 and the error text.
  transport::HttpResponse Send(const std::string& aRouter,
                               transport::HttpRequest aRequest,
                               const std::string& aKey = "north-key",
                               std::int64_t aTimeoutMs = 20000)
  {
    aRequest.mFields.push_back({ "authorization", "Bearer " + aKey });
    const auto answer =
      Fleet::Call(mFleet.Process(aRouter).mTraffic, aRequest, aTimeoutMs);
    if (!answer) {
      transport::HttpResponse none;
      none.mStatus = 0;
      none.mBody = answer.error().Describe();
      return none;
    }
    return *answer;
  }

  static std::string Field(const transport::HttpResponse& aResponse,
                           std::string_view aName)
  {
    transport::HttpRequest fields;
    fields.mFields = aResponse.mFields;
    return std::string(fields.Field(aName));
  }

  Fleet mFleet;
};

} // namespace shuntjunction::standins
