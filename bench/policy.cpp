// shuntpolicy: the policy before real processes. The same workload is put
// through real routers and companions before engine stand-ins, once a policy,
// and the measures of the brief stand side by side.

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <functional>
#include <ctime>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "fleet.h"
#include "shuntjunction/state/endpoint_chooser.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/settings.h"
#include "workload.h"

namespace shuntjunction::bench {
namespace {

using standins::CallerEnd;
using standins::CallerOutcome;
using standins::Fleet;

/// What goes wrong during a run.
enum class Trouble : std::uint8_t
{
  kNone,
  kEngineKilled,
  kHotShift,
  kRoutersRestart,
  kEventsLost,
  kZoneLost,
};

constexpr state::EnumNames<Trouble, 6> kTroubleNames{ { "none",
                                                        "engine-killed",
                                                        "hot-shift",
                                                        "routers-restart",
                                                        "events-lost",
                                                        "zone-lost" } };

constexpr std::size_t kZones = 4;

struct Options
{
  std::string mBinaries;
  std::string mFolder = "build/policy";
  std::size_t mEndpoints = 10;
  std::size_t mRouters = 3;
  std::int64_t mMicrosPerBlock = 2000;
  std::size_t mCacheBlocks = 400;
  std::string mTrouble = "none";
  std::vector<std::string> mPolicies{ "random",
                                      "least-load",
                                      "power-of-two",
                                      "rendezvous",
                                      "nested-groups" };
  std::size_t mProbes = state::ChooserSettings().mProbes;
  std::size_t mMinWidth = state::ChooserSettings().mMinWidth;
  std::int64_t mProbeTimeoutMs = state::RouterSettings().mProbeTimeout.count();
  std::int64_t mFlightWaitMs = 400;
  double mTargetLoad = 0.5;
  bool mWarms = false;
  WorkloadSettings mWorkload;
};

struct Measures
{
  std::string mPolicy;
  std::size_t mCalls = 0;
  std::size_t mWhole = 0;
  std::size_t mWrong = 0;
  double mHitRate = 0;
  double mWaste = 0; ///< computed blocks over the unavoidable ones
  std::vector<double> mFirst;
  std::vector<double> mFirstInBurst;
  std::vector<double> mFirstCold; ///< in the first seconds of the run
};

/// How long a run counts as cold.
constexpr double kColdSeconds = 1.0;

/// Time for the companions to warm.
constexpr state::Millis kWarmTime{ 3000 };

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto at = static_cast<std::size_t>(
    std::lround(aShare * static_cast<double>(aValues.size() - 1)));
  return aValues[at];
}

std::string
RouterName(std::size_t aGeneration, std::size_t aNumber)
{
  return "r" + std::to_string(aGeneration) + "-" + std::to_string(aNumber);
}

void
StartRouters(Fleet& aFleet, const Options& aOptions, std::size_t aGeneration)
{
  for (std::size_t i = 0; i < aOptions.mRouters; ++i) {
    const std::string name = RouterName(aGeneration, i);
    aFleet.StartRouter(name, "zone-" + std::to_string(i % kZones));
  }
}

/// Declares that the largest teams' event starts in the next minute, and
/// gives the companions time to warm their rules.
void
Warm(Fleet& aFleet, const Options& aOptions)
{
  const auto now = std::chrono::system_clock::now() + std::chrono::seconds(30);
  const std::time_t start = std::chrono::system_clock::to_time_t(now) + 30;
  std::tm parts{};
  gmtime_r(&start, &parts);
  std::array<char, 6> text{};
  std::strftime(text.data(), text.size(), "%H:%M", &parts);
  for (std::size_t team = 0; team < aOptions.mWorkload.mTeams; ++team) {
    const std::string name = "team-" + std::to_string(team);
    aFleet.Apply("config/parameters/" + name + "/event",
                 boost::json::serialize(boost::json::object{
                   { "model", "m" },
                   { "starts", boost::json::array{ text.data() } },
                   { "sharedText",
                     boost::json::array{ RuleText(aOptions.mWorkload, team) } },
                   { "warmEndpoints", 3 } }));
  }
  std::this_thread::sleep_for(kWarmTime);
}

void
StartAll(Fleet& aFleet, const Options& aOptions)
{
  aFleet.StartPlatform();
  for (std::size_t i = 0; i < aOptions.mWorkload.mTeams; ++i) {
    const std::string team = "team-" + std::to_string(i);
    aFleet.Apply("config/teams/" + team,
                 R"({"keyDigests":[")" + standins::KeyDigest(team) + R"("]})");
  }
  aFleet.Apply("config/models/m", R"({"weights":1})");
  const bool losesEvents = aOptions.mTrouble == "events-lost";
  for (std::size_t i = 0; i < aOptions.mEndpoints; ++i) {
    const std::string number = std::to_string(i);
    aFleet.Apply("config/endpoints/e" + number, R"({"model":"m"})");
    aFleet.StartEngine("engine" + number,
                       { "--micros-per-block",
                         std::to_string(aOptions.mMicrosPerBlock),
                         "--cache-blocks",
                         std::to_string(aOptions.mCacheBlocks),
                         "--event-delay-ms",
                         "50",
                         "--event-loss",
                         losesEvents ? "0.02" : "0",
                         "--seed",
                         number });
    aFleet.StartCompanion(
      "e" + number, "engine" + number, "zone-" + std::to_string(i % kZones));
  }
  StartRouters(aFleet, aOptions, 0);
  aFleet.AwaitEngines("m", aOptions.mEndpoints);
  for (std::size_t i = 0; i < aOptions.mRouters; ++i) {
    aFleet.AwaitReady(RouterName(0, i));
  }
  if (aOptions.mWarms) {
    Warm(aFleet, aOptions);
  }
}

/// What the trouble does just before the second burst.
void
Strike(Fleet& aFleet, const Options& aOptions, std::size_t& aGeneration)
{
  const auto kill = [&](std::size_t aEndpoint) {
    aFleet.Signal("engine" + std::to_string(aEndpoint), SIGKILL);
    aFleet.Signal("e" + std::to_string(aEndpoint), SIGKILL);
  };
  if (aOptions.mTrouble == "engine-killed") {
    kill(0);
  } else if (aOptions.mTrouble == "zone-lost") {
    for (std::size_t i = 0; i < aOptions.mEndpoints; i += kZones) {
      kill(i);
    }
  } else if (aOptions.mTrouble == "routers-restart") {
    // The balancer turns to the new ones as the old ones stop.
    StartRouters(aFleet, aOptions, aGeneration + 1);
    for (std::size_t i = 0; i < aOptions.mRouters; ++i) {
      aFleet.Signal(RouterName(aGeneration, i), SIGTERM);
      aFleet.Unlist(RouterName(aGeneration, i));
    }
    ++aGeneration;
  }
}

/// Makes one call at its time; a router that does not answer is passed over
/// as by a balancer.
transport::Task<void>
CallAt(const Fleet* aFleet,
       const Options* aOptions,
       const TimedCall* aTimed,
       std::size_t aNumber,
       state::TimePoint aBegin,
       const std::size_t* aGeneration,
       CallerOutcome* aOutcome)
{
  const std::chrono::duration<double> at(aTimed->mAt);
  const auto due =
    aBegin + std::chrono::duration_cast<state::BootClock::duration>(at);
  co_await transport::Sleep(due - state::BootClock::now());
  standins::CallerCall call;
  call.mKey = "team-" + std::to_string(aTimed->mTeam);
  call.mModel = "m";
  call.mTokens = aOptions->mWorkload.mTokens;
  call.mLevels = aTimed->mLevels;
  for (std::size_t i = 0; i < aOptions->mRouters; ++i) {
    const std::string router =
      RouterName(*aGeneration, (aNumber + i) % aOptions->mRouters);
    call.mRouter = aFleet->Process(router).mTraffic;
    *aOutcome = co_await standins::MakeCall(call);
    if (aOutcome->mEnd != CallerEnd::kNoConnection) {
      break;
    }
  }
}

std::pair<double, double>
EngineBlocks(const Fleet& aFleet, const Options& aOptions)
{
  double prompt = 0;
  double computed = 0;
  for (std::size_t i = 0; i < aOptions.mEndpoints; ++i) {
    transport::HttpRequest request;
    request.mTarget = "/engine/audit";
    const auto answer = Fleet::Call(
      aFleet.Process("engine" + std::to_string(i)).mTraffic, request);
    const auto value = state::ParseJson(answer ? answer->mBody : "{}", "audit");
    const auto& audit = value->as_object();
    if (audit.contains("promptBlocks")) {
      prompt += audit.at("promptBlocks").to_number<double>();
      computed += audit.at("computedBlocks").to_number<double>();
    }
  }
  return { prompt, computed };
}

Measures
RunPolicy(const Options& aOptions, const std::string& aPolicy)
{
  standins::FleetSettings settings;
  settings.mBinaries = aOptions.mBinaries;
  settings.mFolder = aOptions.mFolder + "/" + aPolicy;
  settings.mProcessExtra = R"({"logLevel":"warn"})";
  settings.mRouterExtra =
    R"({"chooser":{"policy":")" + aPolicy + R"(","probes":)" +
    std::to_string(aOptions.mProbes) + R"(,"minWidth":)" +
    std::to_string(aOptions.mMinWidth) + R"(,"targetLoad":)" +
    std::to_string(aOptions.mTargetLoad) + R"(},"probeTimeoutMs":)" +
    std::to_string(aOptions.mProbeTimeoutMs) + "}";
  settings.mCompanionExtra = R"({"maxQueued":1000,"microsPerBlock":)" +
                             std::to_string(aOptions.mMicrosPerBlock) +
                             R"(,"flightWaitMs":)" +
                             std::to_string(aOptions.mFlightWaitMs) + "}";
  Fleet fleet(settings);
  StartAll(fleet, aOptions);
  const auto timed = MakeWorkload(aOptions.mWorkload);
  std::vector<CallerOutcome> outcomes(timed.size());
  boost::asio::io_context context(1);
  std::size_t generation = 0;
  const auto begin = state::BootClock::now();
  for (std::size_t i = 0; i < timed.size(); ++i) {
    transport::Spawn(
      context,
      CallAt(
        &fleet, &aOptions, &timed[i], i, begin, &generation, &outcomes[i]));
  }
  const std::chrono::duration<double> strikeAt(
    aOptions.mWorkload.mBurstEvery * 2 - 0.05);
  transport::Timer timer(
    context, std::chrono::duration_cast<std::chrono::nanoseconds>(strikeAt));
  timer.async_wait([&](auto) { Strike(fleet, aOptions, generation); });
  context.run();
  Measures measures;
  measures.mPolicy = aPolicy;
  measures.mCalls = timed.size();
  for (std::size_t i = 0; i < timed.size(); ++i) {
    if (outcomes[i].mEnd == CallerEnd::kWrong) {
      ++measures.mWrong;
    }
    if (outcomes[i].mEnd != CallerEnd::kWhole) {
      continue;
    }
    ++measures.mWhole;
    const double first = outcomes[i].mFirstToken.count();
    measures.mFirst.push_back(first);
    if (timed[i].mAt < kColdSeconds) {
      measures.mFirstCold.push_back(first);
    }
    if (timed[i].mIsBurst) {
      measures.mFirstInBurst.push_back(first);
    }
  }
  const auto [prompt, computed] = EngineBlocks(fleet, aOptions);
  measures.mHitRate = prompt == 0 ? 0 : 1.0 - computed / prompt;
  measures.mWaste =
    computed / static_cast<double>(UnavoidableBlocks(timed)) - 1.0;
  return measures;
}

void
Print(const Measures& aMeasures)
{
  std::printf("| %-14s | %5zu | %5zu | %5zu | %5.3f | %6.2f | %5.0f | %5.0f | "
              "%5.0f | %5.0f | %5.0f | %5.0f | %5.0f |\n",
              aMeasures.mPolicy.c_str(),
              aMeasures.mCalls,
              aMeasures.mWhole,
              aMeasures.mWrong,
              aMeasures.mHitRate,
              aMeasures.mWaste,
              1000 * Percentile(aMeasures.mFirst, 0.5),
              1000 * Percentile(aMeasures.mFirst, 0.95),
              1000 * Percentile(aMeasures.mFirst, 0.99),
              1000 * Percentile(aMeasures.mFirstInBurst, 0.5),
              1000 * Percentile(aMeasures.mFirstInBurst, 0.95),
              1000 * Percentile(aMeasures.mFirstInBurst, 0.99),
              1000 * Percentile(aMeasures.mFirstCold, 0.95));
  std::fflush(stdout);
}

} // namespace
} // namespace shuntjunction::bench

int
main(int aCount, char** aArguments)
{
  using namespace shuntjunction::bench;
  CLI::App app("Policies side by side on real processes.");
  Options options;
  app.add_option("--binaries", options.mBinaries)->required();
  app.add_option("--folder", options.mFolder);
  app.add_option("--endpoints", options.mEndpoints);
  app.add_option("--routers", options.mRouters);
  app.add_option("--micros-per-block", options.mMicrosPerBlock);
  app.add_option("--cache-blocks", options.mCacheBlocks);
  app.add_option("--policies", options.mPolicies)->delimiter(',');
  app.add_option("--probes", options.mProbes);
  app.add_option("--min-width", options.mMinWidth);
  app.add_option("--probe-timeout-ms", options.mProbeTimeoutMs);
  app.add_option("--flight-wait-ms", options.mFlightWaitMs);
  app.add_option("--target-load", options.mTargetLoad);
  app.add_option("--seed", options.mWorkload.mSeed);
  app.add_option("--rate", options.mWorkload.mRequestsPerSecond);
  app.add_option("--burst", options.mWorkload.mBurst);
  app.add_option("--seconds", options.mWorkload.mSeconds);
  app.add_option("--teams", options.mWorkload.mTeams);
  app.add_option("--records", options.mWorkload.mRecords);
  app.add_flag("--warm", options.mWarms, "warm the rules before the run");
  app.add_option(
    "--trouble", options.mTrouble, "one of " + kTroubleNames.Allowed());
  CLI11_PARSE(app, aCount, aArguments);
  if (!kTroubleNames.Parse(options.mTrouble)) {
    std::cerr << "--trouble is one of " << kTroubleNames.Allowed() << "\n";
    return 2;
  }
  if (options.mTrouble == "hot-shift") {
    options.mWorkload.mShiftAt = options.mWorkload.mBurstEvery * 2;
  }
  std::printf("trouble: %s, seed %llu\n\n",
              options.mTrouble.c_str(),
              static_cast<unsigned long long>(options.mWorkload.mSeed));
  std::printf("| policy         | calls | whole | wrong | hits  | waste  | p50 "
              "  | p95   | p99   | b p50 | b p95 | b p99 | cold |\n");
  std::printf("| -------------- | ----- | ----- | ----- | ----- | ------ | "
              "----- | ----- | ----- | ----- | ----- | ----- | ----- |\n");
  for (const auto& policy : options.mPolicies) {
    Print(RunPolicy(options, policy));
  }
  return 0;
}
