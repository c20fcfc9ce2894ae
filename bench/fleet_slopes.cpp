// shuntslopes: measures how memory, processor time and traffic of real routers
// and companions scale with open streams, tokens, requests, configuration and
// fleet size; also the cost of idling and the latency added to a direct call.

#include <algorithm>
#include <functional>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>
#include <boost/json/object.hpp>

#include "caller.h"
#include "fleet.h"
#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::bench {
namespace {

using standins::Fleet;
using standins::ModelCall;
using state::Millis;

/// Measured value at a load size.
struct Point
{
  double mSize = 0;
  double mValue = 0;
};

/// Prints the points, a least-squares line and its largest residual.
void
PrintFit(const std::string& aName,
         const std::string& aUnit,
         const std::vector<Point>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& point : aPoints) {
    x += point.mSize;
    y += point.mValue;
    xx += point.mSize * point.mSize;
    xy += point.mSize * point.mValue;
  }
  const double slope = (count * xy - x * y) / (count * xx - x * x);
  const double base = (y - slope * x) / count;
  double worst = 0;
  std::printf("| %s |", aName.c_str());
  for (const auto& point : aPoints) {
    const double fitted = base + slope * point.mSize;
    worst = std::max(worst, std::abs(point.mValue - fitted));
    std::printf(" %.0f: %.4g;", point.mSize, point.mValue);
  }
  std::printf(
    " | %.4g + %.4g x size %s | %.3g |\n", base, slope, aUnit.c_str(), worst);
  std::fflush(stdout);
}

/// A new fleet of one router, one endpoint and one team.
class MinimalSetup
{
public:
  MinimalSetup(const std::string& aBinaries,
               const std::string& aName,
               std::int64_t aMicrosPerToken)
    : mFleet(Settings(aBinaries, aName))
  {
    mFleet.StartPlatform();
    mFleet.Apply("config/teams/t",
                 R"({"keyDigests":[")" + standins::KeyDigest("k") + R"("]})");
    mFleet.Apply("config/models/m", R"({"weights":1})");
    mFleet.Apply("config/endpoints/e", R"({"model":"m"})");
    mFleet.StartEngine("engine",
                       { "--slots",
                         "4000",
                         "--micros-per-block",
                         "1",
                         "--micros-per-token",
                         std::to_string(aMicrosPerToken) });
    mFleet.StartCompanion("e", "engine", "z");
    mFleet.StartRouter("r", "z");
    mFleet.AwaitEngines("m", 1);
    mFleet.AwaitReady("r");
  }

  std::vector<ModelCall> Calls(std::size_t aCount, std::uint32_t aTokens)
  {
    std::vector<ModelCall> calls(aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      calls[i].mRouter = mFleet.Process("r").mTraffic;
      calls[i].mKey = "k";
      calls[i].mModel = "m";
      calls[i].mTokens = aTokens;
      calls[i].mLevels = { std::string(10240, 'r'),
                           "clip " + std::to_string(i) };
    }
    return calls;
  }

  Fleet mFleet;

private:
  static standins::FleetSettings Settings(const std::string& aBinaries,
                                          const std::string& aName)
  {
    standins::FleetSettings settings;
    settings.mBinaries = aBinaries;
    settings.mFolder = "build/slopes/" + aName;
    settings.mProcessExtra = R"({"logLevel":"warn"})";
    settings.mRouterExtra = R"({"defaultDeadlineMs":60000})";
    settings.mCompanionExtra = R"({"slots":4000,"maxQueued":4000})";
    return settings;
  }
};

std::int64_t
PeakKilobytes(const Fleet& aFleet, const std::string& aName)
{
  return aFleet.Usage(aName).first;
}

void
MeasureStreams(const std::string& aBinaries)
{
  std::vector<Point> router;
  std::vector<Point> companion;
  constexpr std::int64_t kMicrosPerToken = 400000;
  constexpr Millis kOpenDelay{ 2500 };
  for (const std::size_t streams : { 50U, 100U, 200U, 400U }) {
    MinimalSetup setup(
      aBinaries, "streams-" + std::to_string(streams), kMicrosPerToken);
    standins::MakeCalls(setup.Calls(1, 2));
    const auto routerBefore = PeakKilobytes(setup.mFleet, "r");
    const auto companionBefore = PeakKilobytes(setup.mFleet, "e");
    std::int64_t routerAfter = 0;
    std::int64_t companionAfter = 0;
    standins::MakeCalls(setup.Calls(streams, 10), kOpenDelay, [&] {
      routerAfter = PeakKilobytes(setup.mFleet, "r");
      companionAfter = PeakKilobytes(setup.mFleet, "e");
    });
    const auto size = static_cast<double>(streams);
    router.push_back({ size, static_cast<double>(routerAfter - routerBefore) });
    companion.push_back(
      { size, static_cast<double>(companionAfter - companionBefore) });
  }
  PrintFit("router: memory by open streams", "KB", router);
  PrintFit("companion: memory by open streams", "KB", companion);
}

/// Measures processor time of router and companion for several loads.
///
/// @param aWork  applies a load of the given size; returns the units done
void
MeasureProcessorTime(
  const std::string& aBinaries,
  const std::string& aWhat,
  const std::vector<std::uint32_t>& aSizes,
  const std::function<double(MinimalSetup&, std::uint32_t)>& aWork)
{
  std::vector<Point> router;
  std::vector<Point> companion;
  for (const std::uint32_t size : aSizes) {
    MinimalSetup setup(aBinaries, aWhat + "-" + std::to_string(size), 1000);
    standins::MakeCalls(setup.Calls(1, 2));
    const double routerBefore = setup.mFleet.Usage("r").second;
    const double companionBefore = setup.mFleet.Usage("e").second;
    const double done = aWork(setup, size);
    router.push_back(
      { done, 1e6 * (setup.mFleet.Usage("r").second - routerBefore) });
    companion.push_back(
      { done, 1e6 * (setup.mFleet.Usage("e").second - companionBefore) });
  }
  PrintFit("router: processor time by " + aWhat, "us", router);
  PrintFit("companion: processor time by " + aWhat, "us", companion);
}

void
MeasureTokens(const std::string& aBinaries)
{
  MeasureProcessorTime(aBinaries,
                       "tokens",
                       { 500, 1000, 2000, 4000 },
                       [](MinimalSetup& aSetup, std::uint32_t aTokens) {
                         constexpr std::size_t kStreams = 20;
                         standins::MakeCalls(aSetup.Calls(kStreams, aTokens));
                         return static_cast<double>(kStreams) * aTokens;
                       });
}

void
MeasureRequests(const std::string& aBinaries)
{
  MeasureProcessorTime(aBinaries,
                       "requests of 10 KB",
                       { 250, 500, 1000, 2000 },
                       [](MinimalSetup& aSetup, std::uint32_t aRequests) {
                         constexpr std::size_t kAtOnce = 50;
                         for (std::size_t done = 0; done < aRequests;
                              done += kAtOnce) {
                           standins::MakeCalls(aSetup.Calls(kAtOnce, 1));
                         }
                         return static_cast<double>(aRequests);
                       });
}

void
MeasureEvents(const std::string& aBinaries)
{
  // Each prompt is new, so that each block causes one event. The cost per
  // request that does not depend on blocks is the intercept of the fitted line.
  std::vector<Point> companion;
  constexpr std::size_t kRequests = 40;
  for (const std::size_t blocks : { 64U, 128U, 256U, 512U }) {
    MinimalSetup setup(aBinaries, "events-" + std::to_string(blocks), 1000);
    standins::MakeCalls(setup.Calls(1, 2));
    const double before = setup.mFleet.Usage("e").second;
    for (std::size_t i = 0; i < kRequests; ++i) {
      auto calls = setup.Calls(1, 1);
      calls[0].mLevels = { "prompt " + std::to_string(i) +
                           std::string(blocks * 256, 'p') };
      standins::MakeCalls(calls);
    }
    std::this_thread::sleep_for(Millis(500)); // Events arrive with a delay.
    const auto size = static_cast<double>(kRequests * blocks);
    companion.push_back(
      { size, 1e6 * (setup.mFleet.Usage("e").second - before) });
  }
  PrintFit("companion: processor time by new blocks (prompt and event)",
           "us",
           companion);
}

/// Seconds until all routers serve a newly configured model.
double
PropagationTime(Fleet& aFleet,
                const std::vector<std::string>& aRouters,
                const std::string& aModel)
{
  const auto begin = state::BootClock::now();
  aFleet.Apply("config/models/" + aModel, R"({"weights":1})");
  for (const auto& name : aRouters) {
    transport::HttpRequest request;
    request.mTarget = "/v1/models";
    request.mFields = { { "authorization", "Bearer k" } };
    bool hasModel = false;
    while (!hasModel) {
      const auto answer = Fleet::Call(aFleet.Process(name).mTraffic, request);
      hasModel = answer && answer->mBody.find(aModel) != std::string::npos;
    }
  }
  const std::chrono::duration<double> time = state::BootClock::now() - begin;
  return time.count();
}

double
PlatformCalls(const Fleet& aFleet)
{
  transport::HttpRequest request;
  request.mTarget = "/counts";
  const auto answer = Fleet::Call(aFleet.Platform(), request);
  const auto value = state::ParseJson(answer->mBody, "counts");
  double sum = 0;
  for (const auto& item : value->as_object()) {
    sum += item.value().to_number<double>();
  }
  return sum;
}

/// A fleet of several routers and four companions in one zone.
class ManyRouters
{
public:
  /// @param aWatchers  value of the "watchers" setting, as JSON
  ManyRouters(const std::string& aBinaries,
              std::size_t aRouters,
              const std::string& aWatchers)
    : mFleet(Settings(aBinaries, aWatchers))
  {
    mFleet.StartPlatform();
    mFleet.Apply("config/teams/t",
                 R"({"keyDigests":[")" + standins::KeyDigest("k") + R"("]})");
    mFleet.StartService("service", 1);
    for (const std::string name : { "c0", "c1", "c2", "c3" }) {
      mFleet.Apply("config/endpoints/" + name, R"({"service":"s"})");
      mFleet.StartCompanion(name, "service", "z", false);
    }
    for (std::size_t i = 0; i < aRouters; ++i) {
      mRouters.push_back("r" + std::to_string(i));
      mFleet.StartRouter(mRouters.back(), "z");
    }
    for (const auto& name : mRouters) {
      mFleet.AwaitReady(name);
    }
  }

  Fleet mFleet;
  std::vector<std::string> mRouters;

private:
  static standins::FleetSettings Settings(const std::string& aBinaries,
                                          const std::string& aWatchers)
  {
    standins::FleetSettings settings;
    settings.mBinaries = aBinaries;
    settings.mFolder = "build/slopes/routers";
    settings.mProcessExtra =
      R"({"logLevel":"warn","watchTimeoutMs":2000,"watchers":)" + aWatchers +
      "}";
    return settings;
  }
};

/// Measures platform calls, peer traffic and propagation time of changes, with
/// few watchers and with all processes watching. Watches time out after 2 s
/// instead of the usual 30 s.
void
MeasureWatching(const std::string& aBinaries)
{
  constexpr double kSeconds = 10;
  constexpr int kChanges = 10;
  constexpr Millis kSettleTime{ 6000 };
  for (const bool hasFewWatchers : { false, true }) {
    std::vector<Point> calls;
    std::vector<Point> bytes;
    std::vector<Point> slowest;
    for (const std::size_t routers : { 8U, 16U, 32U, 64U }) {
      ManyRouters many(aBinaries,
                       routers,
                       hasFewWatchers ? R"({"allBelow":0})"
                                      : R"({"allBelow":999})");
      Fleet& fleet = many.mFleet;
      std::this_thread::sleep_for(kSettleTime);
      const auto peerBytes = [&] {
        return fleet.Metric("r0", "shuntjunction_config_peer_bytes");
      };
      const double callsBefore = PlatformCalls(fleet);
      const double bytesBefore = peerBytes();
      std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
      const auto size = static_cast<double>(routers);
      calls.push_back(
        { size, (PlatformCalls(fleet) - callsBefore) / kSeconds });
      bytes.push_back({ size, (peerBytes() - bytesBefore) / kSeconds });
      double worst = 0;
      for (int i = 0; i < kChanges; ++i) {
        worst = std::max(
          worst,
          PropagationTime(fleet, many.mRouters, "model-" + std::to_string(i)));
      }
      slowest.push_back({ size, 1000 * worst });
    }
    const std::string who = hasFewWatchers ? "three watch" : "all watch";
    PrintFit("platform calls a second by routers, " + who, "", calls);
    PrintFit("peer bytes a second of a router, " + who, "B", bytes);
    PrintFit("longest of 10 changes by routers, " + who, "ms", slowest);
  }
}

/// Measures the bytes that a process without a watch fetches from peers per
/// change, by the size of the configuration.
void
MeasureChangeBytes(const std::string& aBinaries)
{
  constexpr int kChanges = 10;
  std::vector<Point> bytes;
  for (const std::size_t teams : { 50U, 100U, 200U, 400U }) {
    ManyRouters many(aBinaries, 4, R"({"allBelow":0})");
    Fleet& fleet = many.mFleet;
    for (std::size_t i = 0; i < teams; ++i) {
      const std::string team = "team-" + std::to_string(i);
      fleet.Apply("config/teams/" + team,
                  R"({"keyDigests":[")" + standins::KeyDigest(team) + R"("]})");
    }
    PropagationTime(fleet, many.mRouters, "first");
    const auto peerBytes = [&] {
      return fleet.Metric("r0", "shuntjunction_config_peer_bytes");
    };
    std::this_thread::sleep_for(Millis(2000));
    const double before = peerBytes();
    for (int i = 0; i < kChanges; ++i) {
      PropagationTime(fleet, many.mRouters, "model-" + std::to_string(i));
    }
    std::this_thread::sleep_for(Millis(1000)); // The metric lags.
    bytes.push_back(
      { static_cast<double>(teams), (peerBytes() - before) / kChanges });
  }
  PrintFit("peer bytes per change by teams, queries included", "B", bytes);
}

void
MeasureOverhead(const std::string& aBinaries)
{
  MinimalSetup setup(aBinaries, "added", 1000);
  const auto measure = [&](bool aIsDirect) {
    std::vector<double> first;
    std::vector<double> total;
    for (int i = 0; i < 200; ++i) {
      auto calls = setup.Calls(1, 20);
      if (aIsDirect) {
        calls[0].mRouter = setup.mFleet.Process("engine").mTraffic;
      }
      const auto outcome = standins::MakeCalls(calls).front();
      first.push_back(1000 * outcome.mFirstToken.count());
      total.push_back(1000 * outcome.mTotalTime.count());
    }
    std::sort(first.begin(), first.end());
    std::sort(total.begin(), total.end());
    std::printf("| %s | first token p50 %.2f ms, p95 %.2f ms; whole answer of "
                "20 tokens p50 %.2f ms, p95 %.2f ms |\n",
                aIsDirect ? "direct to the engine" : "through both processes",
                first[100],
                first[190],
                total[100],
                total[190]);
  };
  measure(false);
  measure(true);
}

void
MeasureIdle(const std::string& aBinaries)
{
  constexpr double kSeconds = 10;
  MinimalSetup setup(aBinaries, "idle", 1000);
  std::this_thread::sleep_for(Millis(4000)); // Until the status is written.
  const double calls = PlatformCalls(setup.mFleet);
  const double router = setup.mFleet.Usage("r").second;
  const double companion = setup.mFleet.Usage("e").second;
  std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
  std::printf("| idle for %.0f s | router %.4f of a core, companion %.4f of a "
              "core, %.2f platform calls a second for both |\n",
              kSeconds,
              (setup.mFleet.Usage("r").second - router) / kSeconds,
              (setup.mFleet.Usage("e").second - companion) / kSeconds,
              (PlatformCalls(setup.mFleet) - calls) / kSeconds);
  std::printf("| peak memory, idle | router %lld KB, companion %lld KB |\n",
              static_cast<long long>(PeakKilobytes(setup.mFleet, "r")),
              static_cast<long long>(PeakKilobytes(setup.mFleet, "e")));
}

} // namespace
} // namespace shuntjunction::bench

int
main(int aCount, char** aArguments)
{
  using namespace shuntjunction::bench;
  using Measurement = void (*)(const std::string&);
  const std::vector<std::pair<std::string, Measurement>> measurements{
    { "streams", MeasureStreams },   { "tokens", MeasureTokens },
    { "requests", MeasureRequests }, { "events", MeasureEvents },
    { "watching", MeasureWatching }, { "added", MeasureOverhead },
    { "idle", MeasureIdle },         { "change-bytes", MeasureChangeBytes }
  };
  CLI::App app("Measures how the cost of real processes scales.");
  std::string binaries;
  std::vector<std::string> only;
  app.add_option("--binaries", binaries)->required();
  app.add_option("--only", only, "measurements to run; default: all")
    ->delimiter(',');
  CLI11_PARSE(app, aCount, aArguments);
  std::printf("| slope | points (size: value) | fit | largest residual |\n");
  std::printf("| --- | --- | --- | --- |\n");
  for (const auto& [name, measure] : measurements) {
    if (only.empty() ||
        std::find(only.begin(), only.end(), name) != only.end()) {
      measure(binaries);
    }
  }
  return 0;
}
