// shuntpolicy: compares endpoint choice policies. Runs the same workload
// through real routers and companions with engine stand-ins, once per policy,
// and prints cache hit rate, excess prefill and time to first token of each.

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

using standins::CallEnd;
using standins::CallOutcome;
using standins::Fleet;

/// Fault that is injected during a run.
enum class Fault : std::uint8_t
{
  kNone,
  kEngineKilled,
  kHotShift,
  kRoutersRestart,
  kEventsLost,
  kZoneLost,
};

constexpr state::EnumNames<Fault, 6> kFaultNames{ { "none",
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
  std::string mFault = "none";
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
  bool mIsPrewarmed = false;
  WorkloadSettings mWorkload;
};

struct PolicyResult
{
  std::string mPolicy;
  std::size_t mCalls = 0;
  std::size_t mCompleted = 0;
  std::size_t mWrong = 0;
  double mHitRate = 0;
  double mExcess = 0; ///< computed / distinct blocks, minus 1
  std::vector<double> mTtft;
  std::vector<double> mTtftInBurst;
  std::vector<double> mTtftCold; ///< of requests sent within kColdSeconds
};

/// Requests of the first kColdSeconds of a run count as cold.
constexpr double kColdSeconds = 1.0;

/// Time given to the companions to prefill the shared texts.
constexpr state::Millis kPrewarmTime{ 3000 };

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

/// Configures an event of each team that starts within the next minute, and
/// waits while the companions prefill the shared texts.
void
Prewarm(Fleet& aFleet, const Options& aOptions)
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
  std::this_thread::sleep_for(kPrewarmTime);
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
  const bool dropsEvents = aOptions.mFault == "events-lost";
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
                         dropsEvents ? "0.02" : "0",
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
  if (aOptions.mIsPrewarmed) {
    Prewarm(aFleet, aOptions);
  }
}

/// Injects the fault; called just before the second burst.
void
InjectFault(Fleet& aFleet, const Options& aOptions, std::size_t& aGeneration)
{
  const auto kill = [&](std::size_t aEndpoint) {
    aFleet.Signal("engine" + std::to_string(aEndpoint), SIGKILL);
    aFleet.Signal("e" + std::to_string(aEndpoint), SIGKILL);
  };
  if (aOptions.mFault == "engine-killed") {
    kill(0);
  } else if (aOptions.mFault == "zone-lost") {
    for (std::size_t i = 0; i < aOptions.mEndpoints; i += kZones) {
      kill(i);
    }
  } else if (aOptions.mFault == "routers-restart") {
    // The load balancer switches to the new routers as the old ones stop.
    StartRouters(aFleet, aOptions, aGeneration + 1);
    for (std::size_t i = 0; i < aOptions.mRouters; ++i) {
      aFleet.Signal(RouterName(aGeneration, i), SIGTERM);
      aFleet.Deregister(RouterName(aGeneration, i));
    }
    ++aGeneration;
  }
}

/// Sends one call at its time. Like a load balancer, tries the next router if
/// one cannot be reached.
transport::Task<void>
RunTimedCall(const Fleet* aFleet,
             const Options* aOptions,
             const TimedCall* aTimedCall,
             std::size_t aNumber,
             state::TimePoint aBegin,
             const std::size_t* aGeneration,
             CallOutcome* aOutcome)
{
  const std::chrono::duration<double> at(aTimedCall->mAt);
  const auto due =
    aBegin + std::chrono::duration_cast<state::BootClock::duration>(at);
  co_await transport::Sleep(due - state::BootClock::now());
  standins::ModelCall call;
  call.mKey = "team-" + std::to_string(aTimedCall->mTeam);
  call.mModel = "m";
  call.mTokens = aOptions->mWorkload.mTokens;
  call.mLevels = aTimedCall->mLevels;
  for (std::size_t i = 0; i < aOptions->mRouters; ++i) {
    const std::string router =
      RouterName(*aGeneration, (aNumber + i) % aOptions->mRouters);
    call.mRouter = aFleet->Process(router).mTraffic;
    *aOutcome = co_await standins::MakeCall(call);
    if (aOutcome->mEnd != CallEnd::kNoConnection) {
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

PolicyResult
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
  const auto timedCalls = MakeWorkload(aOptions.mWorkload);
  std::vector<CallOutcome> outcomes(timedCalls.size());
  boost::asio::io_context context(1);
  std::size_t generation = 0;
  const auto begin = state::BootClock::now();
  for (std::size_t i = 0; i < timedCalls.size(); ++i) {
    transport::Spawn(context,
                     RunTimedCall(&fleet,
                                  &aOptions,
                                  &timedCalls[i],
                                  i,
                                  begin,
                                  &generation,
                                  &outcomes[i]));
  }
  const std::chrono::duration<double> faultDelay(
    aOptions.mWorkload.mBurstEvery * 2 - 0.05);
  transport::Timer timer(
    context, std::chrono::duration_cast<std::chrono::nanoseconds>(faultDelay));
  timer.async_wait([&](auto) { InjectFault(fleet, aOptions, generation); });
  context.run();
  PolicyResult result;
  result.mPolicy = aPolicy;
  result.mCalls = timedCalls.size();
  for (std::size_t i = 0; i < timedCalls.size(); ++i) {
    if (outcomes[i].mEnd == CallEnd::kWrong) {
      ++result.mWrong;
    }
    if (outcomes[i].mEnd != CallEnd::kComplete) {
      continue;
    }
    ++result.mCompleted;
    const double ttft = outcomes[i].mFirstToken.count();
    result.mTtft.push_back(ttft);
    if (timedCalls[i].mAt < kColdSeconds) {
      result.mTtftCold.push_back(ttft);
    }
    if (timedCalls[i].mIsBurst) {
      result.mTtftInBurst.push_back(ttft);
    }
  }
  const auto [prompt, computed] = EngineBlocks(fleet, aOptions);
  result.mHitRate = prompt == 0 ? 0 : 1.0 - computed / prompt;
  result.mExcess =
    computed / static_cast<double>(DistinctBlocks(timedCalls)) - 1.0;
  return result;
}

void
Print(const PolicyResult& aResult)
{
  std::printf("| %-14s | %5zu | %5zu | %5zu | %5.3f | %6.2f | %5.0f | %5.0f | "
              "%5.0f | %5.0f | %5.0f | %5.0f | %5.0f |\n",
              aResult.mPolicy.c_str(),
              aResult.mCalls,
              aResult.mCompleted,
              aResult.mWrong,
              aResult.mHitRate,
              aResult.mExcess,
              1000 * Percentile(aResult.mTtft, 0.5),
              1000 * Percentile(aResult.mTtft, 0.95),
              1000 * Percentile(aResult.mTtft, 0.99),
              1000 * Percentile(aResult.mTtftInBurst, 0.5),
              1000 * Percentile(aResult.mTtftInBurst, 0.95),
              1000 * Percentile(aResult.mTtftInBurst, 0.99),
              1000 * Percentile(aResult.mTtftCold, 0.95));
  std::fflush(stdout);
}

} // namespace
} // namespace shuntjunction::bench

int
main(int aCount, char** aArguments)
{
  using namespace shuntjunction::bench;
  CLI::App app("Compares endpoint choice policies on real processes.");
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
  app.add_flag(
    "--warm", options.mIsPrewarmed, "prefill the shared texts before the run");
  app.add_option(
    "--trouble", options.mFault, "one of " + kFaultNames.Allowed());
  CLI11_PARSE(app, aCount, aArguments);
  if (!kFaultNames.Parse(options.mFault)) {
    std::cerr << "--trouble must be one of " << kFaultNames.Allowed() << "\n";
    return 2;
  }
  if (options.mFault == "hot-shift") {
    options.mWorkload.mShiftAt = options.mWorkload.mBurstEvery * 2;
  }
  std::printf("trouble: %s, seed %llu\n\n",
              options.mFault.c_str(),
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
