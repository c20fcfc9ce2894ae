// Orders to engines: an instance is replaced while its companion is only
// paused, so that two companions send orders to one engine. The newest order
// must win.

#include <csignal>
#include <thread>

#include <boost/json/object.hpp>

#include "given_a_fleet.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::standins {
namespace {

using state::Millis;

class GivenAReplacedInstance : public GivenAFleet
{
protected:
  /// Replaces endpoint-1, whose companion is paused, as if it were lost.
  void Replace(const std::string& aPaused)
  {
    mFleet.Signal("endpoint-1", SIGSTOP);
    mFleet.Rename("endpoint-1", aPaused);
    mFleet.StartCompanion("endpoint-1", "engine-1", "zone-1");
    mFleet.AwaitReady("endpoint-1");
  }

  void OrderWeights(std::uint32_t aWeights)
  {
    mFleet.Apply(std::string("config/models/") + kModel,
                 R"({"weights":)" + std::to_string(aWeights) + "}");
  }

  std::uint64_t Audit(const std::string& aEngine, const std::string& aField)
  {
    transport::HttpRequest request;
    request.mTarget = aField == "weights" ? "/engine/state" : "/engine/audit";
    const auto answer = Fleet::Call(mFleet.Process(aEngine).mTraffic, request);
    const auto value = state::ParseJson(answer ? answer->mBody : "{}", aEngine);
    const auto* field = value->as_object().if_contains(aField);
    return field == nullptr ? 0 : field->to_number<std::uint64_t>();
  }

  void ExpectAllLoad(std::uint32_t aWeights)
  {
    for (std::size_t i = 1; i <= kEndpoints; ++i) {
      const std::string engine = "engine-" + std::to_string(i);
      for (int poll = 0; poll < 3000 && Audit(engine, "weights") != aWeights;
           ++poll) {
        std::this_thread::sleep_for(Millis(10));
      }
      EXPECT_EQ(Audit(engine, "weights"), aWeights) << engine;
    }
  }

  void ExpectCompleteAnswersOf(std::uint32_t aWeights)
  {
    auto calls = Calls(12);
    for (auto& call : calls) {
      call.mWeights = aWeights;
      call.mTokens = 20;
    }
    ExpectAllComplete(MakeCalls(calls));
  }

  /// Both companions get the newest weights, the paused one after its
  /// replacement ordered older ones.
  void ExpectNewestWeightsStay()
  {
    OrderWeights(2);
    Replace("paused");
    ExpectAllLoad(2);
    mFleet.Signal("paused", SIGCONT);
    OrderWeights(3);
    ExpectAllLoad(3);
    ExpectCompleteAnswersOf(3);
    EXPECT_EQ(Audit("engine-1", "weights"), 3U);
  }
};

class BesideOddStatuses : public GivenAReplacedInstance
{
protected:
  /// Declares endpoints without processes, whose batches come before others',
  /// and writes a status for each.
  void SetStatuses(const std::string& aStatus)
  {
    for (int i = 1; i <= kDeclared; ++i) {
      const std::string name = "declared-" + std::to_string(i);
      mFleet.Apply("config/endpoints/" + name,
                   std::string(R"({"model":")") + kModel + "\"}");
      mFleet.Apply("status/" + name, aStatus);
    }
  }

  static constexpr int kDeclared = 8;
};

// Guards against a number in another writer's object that ends companions.
TEST_F(BesideOddStatuses, CompanionsLoadOnceTheyAreReplaced)
{
  for (const char* weights : { "-1", "1e30", "2.5", "99999999999" }) {
    SetStatuses(std::string(R"({"weights":)") + weights + "}");
    OrderWeights(2);
    std::this_thread::sleep_for(Millis(700));
  }
  SetStatuses(R"({"weights":2})");
  ExpectAllLoad(2);
  ExpectCompleteAnswersOf(2);
}

class OnEnginesThatCheckFences : public GivenAReplacedInstance
{};

TEST_F(OnEnginesThatCheckFences, TheNewestWeightsStay)
{
  ExpectNewestWeightsStay();
}

TEST_F(OnEnginesThatCheckFences, APauseDuringAnOrderIsHarmless)
{
  mFleet.SetFaults(R"({"slowMs":60})");
  for (const int pauseAfter : { 400, 700 }) {
    SCOPED_TRACE(pauseAfter);
    OrderWeights(2);
    std::this_thread::sleep_for(Millis(pauseAfter));
    const std::string paused = "paused-" + std::to_string(pauseAfter);
    Replace(paused);
    ExpectAllLoad(2);
    OrderWeights(3);
    mFleet.Signal(paused, SIGCONT);
    ExpectAllLoad(3);
    mFleet.Kill(paused);
  }
  ExpectCompleteAnswersOf(3);
}

TEST_F(OnEnginesThatCheckFences, ARateLimitedWeightStoreEventuallyServesAll)
{
  mFleet.SetFaults(R"({"weightsPerSecond":1})");
  auto outcomes = MakeCalls(Calls(18), Millis(200), [&] { OrderWeights(2); });
  ExpectAllComplete(outcomes);
  ExpectAllLoad(2);
  ExpectCompleteAnswersOf(2);
}

class OnEnginesThatIgnoreFences : public GivenAReplacedInstance
{
protected:
  std::vector<std::string> EngineOptions() override
  {
    return { "--micros-per-token", "10000", "--ignores-fences" };
  }
};

TEST_F(OnEnginesThatIgnoreFences, TheNewestWeightsStay)
{
  ExpectNewestWeightsStay();
}

} // namespace
} // namespace shuntjunction::standins
