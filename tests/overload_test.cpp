// The story of too much work: a large team beside a small one, urgent work
// beside ordinary, and engines that fail half of what they get.

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

  /// Calls of a team that all ask for different prompts.
  std::vector<CallerCall> CallsOf(const std::string& aTeam, std::size_t aCount)
  {
    std::vector<CallerCall> calls;
    for (std::size_t i = 0; i < aCount; ++i) {
      calls.push_back(Call(i, aTeam));
      calls.back().mTokens = 10;
    }
    return calls;
  }

  /// The longest time to the first token from one call to before another.
  static double Longest(const std::vector<CallerOutcome>& aOutcomes,
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

/// Many calls and, behind them, a few of another team or class.
class WithACrowd : public WithFewSlots
{
protected:
  static constexpr std::size_t kMany = 120;
  static constexpr std::size_t kFew = 12;

  /// Longest time to a first token of the few, as a share of the many's.
  double TailOfTheFew(const std::string& aFewTeam,
                      const std::string& aFewPriority)
  {
    auto calls = CallsOf("north", kMany);
    const auto few = CallsOf(aFewTeam, kFew);
    calls.insert(calls.end(), few.begin(), few.end());
    for (std::size_t i = 0; i < calls.size(); ++i) {
      calls[i].mFields = { { "priority", i < kMany ? "u=5" : aFewPriority } };
    }
    const auto outcomes = MakeCalls(calls);
    ExpectAllWhole(outcomes);
    const double share =
      Longest(outcomes, kMany, calls.size()) / Longest(outcomes, 0, kMany);
    RecordProperty("share", std::to_string(share));
    return share;
  }
};

TEST_F(WithACrowd, ATeamAtTenTimesAnothersShareDoesNotMoveItsTail)
{
  EXPECT_LT(TailOfTheFew("south", "u=5"), 0.5);
}

TEST_F(WithACrowd, UrgentWorkPassesOrdinary)
{
  EXPECT_LT(TailOfTheFew("north", "u=0"), 0.5);
}

/// One endpoint and one queue: where the few are placed decides nothing.
class AtTheOnlyEndpoint : public WithACrowd
{
protected:
  void SetUp() override
  {
    WithACrowd::SetUp();
    for (const std::string name : { "endpoint-2", "endpoint-3" }) {
      mFleet.Signal(name, SIGTERM);
      mFleet.WaitForExit(name);
      mFleet.Unlist(name);
    }
  }
};

TEST_F(AtTheOnlyEndpoint, WithoutTeamsAndClassesTheFewWaitBehindTheMany)
{
  EXPECT_GT(TailOfTheFew("north", "u=5"), 0.5);
}

TEST_F(AtTheOnlyEndpoint, UrgentWorkPassesOrdinary)
{
  EXPECT_LT(TailOfTheFew("north", "u=0"), 0.5);
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
    // Nobody is ejected: what bounds the retries is the budget alone.
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
  static constexpr std::size_t kCallsAWave = 20;

  /// Retries for each call, beyond what the routers had saved up.
  double RetriesPerCall()
  {
    auto calls = Calls(kCallsAWave);
    for (auto& call : calls) {
      call.mTokens = 1;
    }
    for (std::size_t wave = 0; wave < kWaves; ++wave) {
      for (const auto& outcome : MakeCalls(calls)) {
        EXPECT_NE(outcome.mEnd, CallerEnd::kWrong);
        EXPECT_NE(outcome.mEnd, CallerEnd::kBroken);
      }
    }
    const double retries =
      mFleet.Metric("router-1", "shuntjunction_retries_total") +
      mFleet.Metric("router-2", "shuntjunction_retries_total");
    RecordProperty("retries", static_cast<int>(retries));
    constexpr double kSavedUp = 2 * state::RetryBudgetSettings().mMax;
    return (retries - kSavedUp) / static_cast<double>(kWaves * kCallsAWave);
  }
};

TEST_F(WithEnginesThatFailHalf, TheBudgetBoundsTheRetries)
{
  // Half would be retried once, a quarter twice.
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
