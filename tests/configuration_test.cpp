// Configuration across the fleet: a change reaches every process, an older
// version never replaces a newer one, concurrent operators get a conflict, and
// new weights interrupt no stream.

#include <csignal>
#include <thread>

#include <fstream>

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "given_a_fleet.h"
#include "shuntctl_run.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

class GivenOperators : public GivenAFleet
{
protected:
  using GivenAFleet::GivenAFleet;

  std::string Platform() { return "--platform " + mFleet.Platform() + " "; }

  std::string File(const std::string& aName, const std::string& aText)
  {
    std::string file = Settings().mFolder + "/" + aName;
    std::ofstream(file) << aText;
    return file;
  }

  std::uint64_t VersionOf(const std::string& aProcess)
  {
    transport::HttpRequest request;
    request.mTarget = "/status";
    request.mFields = { { "authorization",
                          "Bearer " + FleetSettings().mSecret } };
    const auto answer = Fleet::Call(mFleet.Process(aProcess).mAdmin, request);
    const auto value = state::ParseJson(answer ? answer->mBody : "{}", "");
    const auto* version = value->as_object().if_contains("version");
    return version == nullptr ? 0 : version->to_number<std::uint64_t>();
  }

  bool AwaitVersion(const std::string& aProcess, std::uint64_t aVersion)
  {
    for (int i = 0; i < 1000 && VersionOf(aProcess) < aVersion; ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
    return VersionOf(aProcess) >= aVersion;
  }
};

TEST_F(GivenOperators, AnAppliedTemplateIsActiveEverywhere)
{
  const auto file = File("template.json", R"({
    // The morning's first dialysis slot.
    "templates/dialysis-slot": {
      "event": "dialysis", "levels": ["rules", "record"], "urgency": "urgent"
    },
    "parameters/north/dialysis-slot": {
      "model": "crew-notes", "starts": ["06:30"], "sharedText": ["rules"]
    },
  })");
  EXPECT_EQ(RunShuntctl("diff " + Platform() + file).mCode, 0);
  const auto applied =
    RunShuntctl("apply " + Platform() + file + " --wait-ms 20000");
  EXPECT_EQ(applied.mCode, 0) << applied.mOutput;
  EXPECT_NE(applied.mOutput.find("in force on every live process"),
            std::string::npos)
    << applied.mOutput;
  auto call = Call(0);
  call.mFields = { { "x-template", "dialysis-slot" } };
  ExpectAllComplete(MakeCalls({ call }));
  const auto shown =
    RunShuntctl("get " + Platform() + "templates --output json");
  EXPECT_NE(shown.mOutput.find("dialysis-slot"), std::string::npos);
}

TEST_F(GivenOperators, InvalidInputIsRefusedBeforeItIsWritten)
{
  const auto bad =
    RunShuntctl("apply " + Platform() +
                File("bad.json", R"({"models/m":{"weights":"x"}})"));
  EXPECT_EQ(bad.mCode, 2) << bad.mOutput;
  EXPECT_NE(bad.mOutput.find("models/m.weights"), std::string::npos)
    << bad.mOutput;
  EXPECT_EQ(RunShuntctl("get " + Platform() + "models/m").mCode, 5);
  EXPECT_EQ(RunShuntctl("delete " + Platform() + "models/m").mCode, 5);
}

TEST_F(GivenOperators, ConcurrentOperatorsGetAConflictThatNamesBothVersions)
{
  const auto file = File("m.json", R"({"models/m":{"weights":2}})");
  EXPECT_EQ(
    RunShuntctl("apply " + Platform() + file + " --if-revision 0").mCode, 0);
  const auto second =
    RunShuntctl("apply " + Platform() + file + " --if-revision 0");
  EXPECT_EQ(second.mCode, 3) << second.mOutput;
  EXPECT_NE(second.mOutput.find("revision 0"), std::string::npos);
  EXPECT_NE(second.mOutput.find("the platform holds revision"),
            std::string::npos)
    << second.mOutput;
}

TEST_F(GivenOperators, ExplainSaysWhichEndpointAndWhy)
{
  const auto body = File("call.json", ChatBody(Call(0)));
  ExpectAllComplete(MakeCalls({ Call(0) }));
  const auto shown = RunShuntctl(
    "explain --admin " + mFleet.Process("router-1").mAdmin + " --secret '" +
    FleetSettings().mSecret + "' --team north " + body);
  EXPECT_EQ(shown.mCode, 0) << shown.mOutput;
  EXPECT_NE(shown.mOutput.find("chosen"), std::string::npos) << shown.mOutput;
}

TEST_F(GivenOperators, AStatusShowsEveryProcess)
{
  std::string shown;
  const auto showsAll = [&] {
    shown = RunShuntctl("status " + Platform()).mOutput;
    return std::all_of(
      kDaemons.begin(), kDaemons.end(), [&](const std::string aName) {
        return shown.find(aName) != std::string::npos;
      });
  };
  for (int i = 0; i < 300 && !showsAll(); ++i) {
    std::this_thread::sleep_for(Millis(50));
  }
  EXPECT_TRUE(showsAll()) << shown;
}

class WithOneWatcherAZone : public GivenOperators
{
protected:
  WithOneWatcherAZone()
    : GivenOperators(FewWatchers())
  {
  }

  static FleetSettings FewWatchers()
  {
    auto settings = Settings();
    settings.mProcessExtra =
      R"({"platformTimeoutMs":500,"stopNoticeMs":400,"logLevel":"debug",)"
      R"("watchTimeoutMs":1000,"watchers":{"perZone":1,"allBelow":0,"askIntervalMs":200}})";
    return settings;
  }

  void SetUp() override
  {
    GivenOperators::SetUp();
    // One watcher in each of the three zones.
    for (int i = 0; i < 1000 && Watching().size() != 3; ++i) {
      std::this_thread::sleep_for(Millis(20));
    }
    ASSERT_EQ(Watching().size(), 3U);
  }

  std::vector<std::string> Watching()
  {
    std::vector<std::string> watching;
    for (const std::string name : kDaemons) {
      if (mFleet.Metric(name, "shuntjunction_config_watching") > 0) {
        watching.push_back(name);
      }
    }
    return watching;
  }

  /// Applies a configuration change and waits until both routers use it.
  void ExpectChangeOnRouters()
  {
    mFleet.Apply("config/models/late", R"({"weights":5})");
    const auto hasLate = [&](const std::string& aRouter) {
      transport::HttpRequest models;
      models.mTarget = "/v1/models";
      return Send(aRouter, models).mBody.find("\"late\"") != std::string::npos;
    };
    for (const std::string router : { "router-1", "router-2" }) {
      for (int i = 0; i < 1000 && !hasLate(router); ++i) {
        std::this_thread::sleep_for(Millis(20));
      }
      EXPECT_TRUE(hasLate(router)) << router;
    }
  }
};

TEST_F(WithOneWatcherAZone, AChangeReachesProcessesThatDoNotWatch)
{
  ExpectChangeOnRouters();
}

TEST_F(WithOneWatcherAZone, AChangeArrivesThoughAllWatchersAreKilled)
{
  for (const auto& watcher : Watching()) {
    mFleet.Kill(watcher);
  }
  ExpectChangeOnRouters();
}

TEST_F(WithOneWatcherAZone, AChangeArrivesThoughAllWatchersAreFrozen)
{
  for (const auto& watcher : Watching()) {
    mFleet.Signal(watcher, SIGSTOP);
  }
  ExpectChangeOnRouters();
}

TEST_F(WithOneWatcherAZone, AnInstanceRegisteredLaterIsFound)
{
  mFleet.Apply("config/endpoints/endpoint-4", R"({"model":"crew-notes"})");
  mFleet.StartEngine("engine-4", EngineOptions());
  mFleet.StartCompanion("endpoint-4", "engine-4", "zone-3");
  const auto usable = [&] {
    return mFleet.Metric("router-1", "shuntjunction_endpoint_usable");
  };
  constexpr double kAll = 6; // Four for engines, two for the service.
  for (int i = 0; i < 1000 && usable() < kAll; ++i) {
    std::this_thread::sleep_for(Millis(20));
  }
  EXPECT_EQ(usable(), kAll);
}

// Guards against names that are not encoded in the requests for their objects.
TEST_F(GivenOperators, ObjectsUnderAnyNameAreAppliedAndDeleted)
{
  const auto file = File("odd.json", R"({
    "templates/slot a&b#c?d%00+e": {
      "event": "dialysis", "levels": ["rules", "record"], "urgency": "urgent"
    },
  })");
  const std::string name = "'templates/slot a&b#c?d%00+e'";
  const auto applied =
    RunShuntctl("apply " + Platform() + file + " --wait-ms 20000");
  EXPECT_EQ(applied.mCode, 0) << applied.mOutput;
  const auto shown = RunShuntctl("get " + Platform() + name);
  EXPECT_EQ(shown.mCode, 0) << shown.mOutput;
  auto call = Call(0);
  call.mFields = { { "x-template", "slot a&b#c?d%00+e" } };
  ExpectAllComplete(MakeCalls({ call }));
  const auto deleted = RunShuntctl("delete " + Platform() + name);
  EXPECT_EQ(deleted.mCode, 0) << deleted.mOutput;
  EXPECT_NE(RunShuntctl("get " + Platform() + name).mCode, 0);
}

// Guards against a status of another writer that ends the command.
TEST_F(GivenOperators, AnOddStatusEndsNoCommand)
{
  mFleet.Apply("status/a-odd", "{}");
  mFleet.Apply("status/b-odd", R"({"name":7,"version":"x","epoch":-1})");
  const auto file = File("late.json", R"({ "models/late": { "weights": 5 } })");
  const auto applied =
    RunShuntctl("apply " + Platform() + file + " --wait-ms 20000");
  EXPECT_EQ(applied.mCode, 0) << applied.mOutput;
  const auto shown = RunShuntctl("status " + Platform());
  EXPECT_EQ(shown.mCode, 0) << shown.mOutput;
  EXPECT_NE(shown.mOutput.find("router-1"), std::string::npos);
  const auto adopted = RunShuntctl("adopt " + Platform());
  EXPECT_EQ(adopted.mCode, 0) << adopted.mOutput;
}

// Guards against names that begin lines of the log or rows of a table.
TEST_F(GivenOperators, ANameWithALineEndBeginsNoLine)
{
  mFleet.Apply("config/teams/a%0Afake-line", R"({"keyDigests":["none"]})");
  const auto file = File("late.json", R"({ "models/late": { "weights": 5 } })");
  const auto applied =
    RunShuntctl("apply " + Platform() + file + " --wait-ms 20000");
  ASSERT_EQ(applied.mCode, 0) << applied.mOutput;
  const auto shown = RunShuntctl("get " + Platform() + "teams");
  EXPECT_NE(shown.mOutput.find("a\\x0afake-line"), std::string::npos);
  std::ifstream log(mFleet.Process("router-1").mLog);
  bool isNamed = false;
  for (std::string line; std::getline(log, line);) {
    EXPECT_FALSE(line.starts_with("fake-line")) << line;
    isNamed = isNamed || line.find("a\\x0afake-line") != std::string::npos;
  }
  EXPECT_TRUE(isNamed);
}

class WhenThePlatformServesOldState : public GivenOperators
{
protected:
  /// Waits until every process has reported that it uses a version, after which
  /// none writes to the platform.
  void AwaitStatuses(std::uint64_t aVersion)
  {
    const std::string versionField =
      "\"version\":" + std::to_string(aVersion) + ",";
    transport::HttpRequest list;
    list.mTarget = "/v1/objects?prefix=status/";
    for (int i = 0; i < 1000; ++i) {
      const auto answer = Fleet::Call(mFleet.Platform(), list);
      const auto value = state::ParseJson(answer->mBody, "");
      std::size_t count = 0;
      for (const auto& item : value->as_object().at("objects").as_array()) {
        const std::string text(item.as_object().at("value").as_string());
        count += text.find(versionField) != std::string::npos ? 1 : 0;
      }
      if (count == kEndpoints + 4) {
        return;
      }
      std::this_thread::sleep_for(Millis(10));
    }
    FAIL() << "not every process reported the version";
  }
};

TEST_F(WhenThePlatformServesOldState, StaleListsAreIgnored)
{
  mFleet.Apply("config/models/late", R"({"weights":5})");
  const std::uint64_t newest = VersionOf("router-1");
  ASSERT_TRUE(AwaitVersion("router-2", newest));
  mFleet.SetFaults(R"({"staleBy":4})");
  mFleet.RestartRouter("router-1", "zone-1");
  mFleet.AwaitReady("router-1");
  {
    SCOPED_TRACE("the restarted router gets the newer version from peers");
    ExpectAllComplete(MakeCalls(Calls(6)));
    EXPECT_TRUE(AwaitVersion("router-1", newest));
  }
  EXPECT_GE(VersionOf("router-2"), newest);
}

TEST_F(WhenThePlatformServesOldState, ARestoredStoreIsUsedOnlyWhenAdopted)
{
  mFleet.Apply("config/models/late", R"({"weights":5})");
  transport::HttpRequest get;
  get.mTarget = "/v1/objects/config/models/late";
  const auto late = Fleet::Call(mFleet.Platform(), get);
  const auto revision = state::ParseJson(late->mBody, "")
                          ->as_object()
                          .at("revision")
                          .to_number<std::uint64_t>();
  ASSERT_TRUE(AwaitVersion("router-1", revision));
  AwaitStatuses(revision);
  transport::HttpRequest restore;
  restore.mMethod = "POST";
  restore.mTarget = "/restore?revision=" + std::to_string(revision - 1);
  ASSERT_TRUE(Fleet::Call(mFleet.Platform(), restore).has_value());
  std::this_thread::sleep_for(Millis(300));
  EXPECT_EQ(VersionOf("router-1"), revision);
  {
    SCOPED_TRACE("it is used once it is adopted");
    EXPECT_EQ(RunShuntctl("adopt " + Platform()).mCode, 0);
    transport::HttpRequest models;
    models.mTarget = "/v1/models";
    const auto hasLate = [&] {
      return Send("router-1", models).mBody.find("\"late\"") !=
             std::string::npos;
    };
    for (int i = 0; i < 1000 && hasLate(); ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
    EXPECT_FALSE(hasLate());
  }
}

TEST_F(WhenThePlatformServesOldState,
       AnInvalidObjectLeavesTheLastValidOneActive)
{
  mFleet.Apply("config/models/crew-notes", R"({"weights":"many"})");
  std::this_thread::sleep_for(Millis(300));
  ExpectAllComplete(MakeCalls(Calls(6)));
}

class WhenWeightsChange : public GivenOperators
{};

TEST_F(WhenWeightsChange, StreamsAreCompleteAndOfOneVersion)
{
  auto calls = Calls(18);
  std::vector<CallOutcome> outcomes = MakeCalls(calls, Millis(200), [&] {
    mFleet.Apply("config/models/crew-notes", R"({"weights":2})");
  });
  ExpectAllComplete(outcomes);
  const auto loaded = [&](const std::string& aEngine) {
    transport::HttpRequest request;
    request.mTarget = "/engine/state";
    const auto answer = Fleet::Call(mFleet.Process(aEngine).mTraffic, request);
    return answer->mBody.find("\"weights\":2") != std::string::npos;
  };
  for (std::size_t i = 1; i <= kEndpoints; ++i) {
    const std::string engine = "engine-" + std::to_string(i);
    for (int poll = 0; poll < 3000 && !loaded(engine); ++poll) {
      std::this_thread::sleep_for(Millis(10));
    }
    EXPECT_TRUE(loaded(engine)) << engine;
  }
  for (auto& call : calls) {
    call.mWeights = 2;
  }
  ExpectAllComplete(MakeCalls(calls));
}

} // namespace
} // namespace shuntjunction::standins
