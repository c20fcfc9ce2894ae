// Overload: a large team next to a small one, urgent requests next to ordinary
// ones, and engines that fail half of their requests.

#include <algorithm>
#include <csignal>

#include "given_a_fleet.h"

namespace shuntjunction::standins {
namespace {

class WithFewSlots : public GivenAFleet
{
protected:
  WithFewSlots()
    : GivenAFleet(TwoSlots())
  {
  }

  static FleetSettings TwoSlots()
  {
    auto settings = Settings();
    settings.mCompanionExtra =
      R"({"claimTimeoutMs":1500,"slots":2,"maxQueued":200})";
    return settings;
  }

  /// Calls of a team, each with a different prompt.
  std::vector<ModelCall> CallsOf(const std::string& aTeam, std::size_t aCount)
  {
    std::vector<ModelCall> calls;
    for (std::size_t i = 0; i < aCount; ++i) {
      calls.push_back(Call(i, aTeam));
      calls.back().mTokens = 10;
    }
    return calls;
  }

  /// Longest time to first token of the calls in [aFrom, aTo).
  static double MaxTimeToFirstToken(const std::vector<CallOutcome>& aOutcomes,
                                    std::size_t aFrom,
                                    std::size_t aTo)
  {
    double longest = 0;
    for (std::size_t i = aFrom; i < aTo; ++i) {
      longest = std::max(longest, aOutcomes[i].mFirstToken.count());
    }
    return longest;
  }
};

/// Many calls, followed by a few of another team or priority.
class WithManyCalls : public WithFewSlots
{
protected:
  static constexpr std::size_t kMany = 120;
  static constexpr std::size_t kFew = 12;

  /// Longest time to first token of the few calls relative to the many.
  double LatencyRatioOfTheFew(const std::string& aFewTeam,
                              const std::string& aFewPriority)
  {
    auto calls = CallsOf("north", kMany);
    const auto few = CallsOf(aFewTeam, kFew);
    calls.insert(calls.end(), few.begin(), few.end());
    for (std::size_t i = 0; i < calls.size(); ++i) {
      calls[i].mFields = { { "priority", i < kMany ? "u=5" : aFewPriority } };
    }
    const auto outcomes = MakeCalls(calls);
    ExpectAllComplete(outcomes);
    const double share = MaxTimeToFirstToken(outcomes, kMany, calls.size()) /
                         MaxTimeToFirstToken(outcomes, 0, kMany);
    RecordProperty("share", std::to_string(share));
    return share;
  }
};

TEST_F(WithManyCalls, ATeamAtTenTimesAnothersShareDoesNotDelayIt)
{
  EXPECT_LT(LatencyRatioOfTheFew("south", "u=5"), 0.5);
}

TEST_F(WithManyCalls, UrgentCallsOvertakeOrdinaryOnes)
{
  EXPECT_LT(LatencyRatioOfTheFew("north", "u=0"), 0.5);
}

/// With one endpoint and one queue, the choice of the endpoint has no effect.
class AtTheOnlyEndpoint : public WithManyCalls
{
protected:
  void SetUp() override
  {
    WithManyCalls::SetUp();
    for (const std::string name : { "endpoint-2", "endpoint-3" }) {
      mFleet.Signal(name, SIGTERM);
      mFleet.WaitForExit(name);
      mFleet.Deregister(name);
    }
  }
};

TEST_F(AtTheOnlyEndpoint, WithoutTeamsAndPrioritiesTheFewWaitBehindTheMany)
{
  EXPECT_GT(LatencyRatioOfTheFew("north", "u=5"), 0.5);
}

TEST_F(AtTheOnlyEndpoint, UrgentCallsOvertakeOrdinaryOnes)
{
  EXPECT_LT(LatencyRatioOfTheFew("north", "u=0"), 0.5);
}

class WithEnginesThatFailHalf : public GivenAFleet
{
protected:
  explicit WithEnginesThatFailHalf(const std::string& aRetryRatio = "0.2")
    : GivenAFleet(Retrying(aRetryRatio))
  {
  }

  static FleetSettings Retrying(const std::string& aRatio)
  {
    auto settings = Settings();
    // No endpoint is ejected, so that only the budget bounds the retries.
    settings.mRouterExtra =
      R"({"defaultDeadlineMs":20000,"maxEjectedShare":0,"retryRatio":)" +
      aRatio + "}";
    return settings;
  }

  std::vector<std::string> EngineOptions() override
  {
    return { "--micros-per-token", "1000", "--fail-share", "0.5" };
  }

  static constexpr std::size_t kWaves = 30;
  static constexpr std::size_t kCallsPerWave = 20;

  /// Retries per call, less those that the routers' saved budgets allow.
  double RetriesPerCall()
  {
    auto calls = Calls(kCallsPerWave);
    for (auto& call : calls) {
      call.mTokens = 1;
    }
    for (std::size_t wave = 0; wave < kWaves; ++wave) {
      for (const auto& outcome : MakeCalls(calls)) {
        EXPECT_NE(outcome.mEnd, CallEnd::kWrong);
        EXPECT_NE(outcome.mEnd, CallEnd::kIncomplete);
      }
    }
    const double retries =
      mFleet.Metric("router-1", "shuntjunction_retries_total") +
      mFleet.Metric("router-2", "shuntjunction_retries_total");
    RecordProperty("retries", static_cast<int>(retries));
    constexpr double kSavedRetries = 2 * state::RetryBudgetSettings().mMax;
    return (retries - kSavedRetries) /
           static_cast<double>(kWaves * kCallsPerWave);
  }
};

TEST_F(WithEnginesThatFailHalf, TheBudgetBoundsTheRetries)
{
  // Without a budget, half would be retried once and a quarter twice.
  EXPECT_LT(RetriesPerCall(), 0.4);
}

class WithoutABudget : public WithEnginesThatFailHalf
{
protected:
  WithoutABudget()
    : WithEnginesThatFailHalf("1.0")
  {
  }
};

TEST_F(WithoutABudget, RetriesMultiply)
{
  EXPECT_GT(RetriesPerCall(), 0.5);
}

} // namespace
} // namespace shuntjunction::standins
