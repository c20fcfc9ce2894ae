// shuntslopes: what real routers and companions cost by what grows: open
// streams, tokens, requests, idle time; and what they add to a direct call.

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

using standins::CallerCall;
using standins::Fleet;
using state::Millis;

/// A size and what was measured at it.
struct Point
{
  double mSize = 0;
  double mValue = 0;
};

/// Prints points with the straight line of least squares and its residue.
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

/// A router, an endpoint and a team of their own for each measurement.
class OneOfEach
{
public:
  OneOfEach(const std::string& aBinaries,
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

  std::vector<CallerCall> Calls(std::size_t aCount, std::uint32_t aTokens)
  {
    std::vector<CallerCall> calls(aCount);
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
Resident(const Fleet& aFleet, const std::string& aName)
{
  return aFleet.Usage(aName).first;
}

void
MeasureStreams(const std::string& aBinaries)
{
  std::vector<Point> router;
  std::vector<Point> companion;
  constexpr std::int64_t kMicrosPerToken = 400000;
  constexpr Millis kAllOpen{ 2500 };
  for (const std::size_t streams : { 50U, 100U, 200U, 400U }) {
    OneOfEach one(
      aBinaries, "streams-" + std::to_string(streams), kMicrosPerToken);
    standins::MakeCalls(one.Calls(1, 2));
    const auto routerBefore = Resident(one.mFleet, "r");
    const auto companionBefore = Resident(one.mFleet, "e");
    std::int64_t routerAfter = 0;
    std::int64_t companionAfter = 0;
    standins::MakeCalls(one.Calls(streams, 10), kAllOpen, [&] {
      routerAfter = Resident(one.mFleet, "r");
      companionAfter = Resident(one.mFleet, "e");
    });
    const auto size = static_cast<double>(streams);
    router.push_back({ size, static_cast<double>(routerAfter - routerBefore) });
    companion.push_back(
      { size, static_cast<double>(companionAfter - companionBefore) });
  }
  PrintFit("router: memory by open streams", "KB", router);
  PrintFit("companion: memory by open streams", "KB", companion);
}

/// Processor time of both processes for work of several sizes.
///
/// @param aWork  does the work of a size before a fleet; returns what it counts
void
MeasureProcessorTime(
  const std::string& aBinaries,
  const std::string& aWhat,
  const std::vector<std::uint32_t>& aSizes,
  const std::function<double(OneOfEach&, std::uint32_t)>& aWork)
{
  std::vector<Point> router;
  std::vector<Point> companion;
  for (const std::uint32_t size : aSizes) {
    OneOfEach one(aBinaries, aWhat + "-" + std::to_string(size), 1000);
    standins::MakeCalls(one.Calls(1, 2));
    const double routerBefore = one.mFleet.Usage("r").second;
    const double companionBefore = one.mFleet.Usage("e").second;
    const double done = aWork(one, size);
    router.push_back(
      { done, 1e6 * (one.mFleet.Usage("r").second - routerBefore) });
    companion.push_back(
      { done, 1e6 * (one.mFleet.Usage("e").second - companionBefore) });
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
                       [](OneOfEach& aOne, std::uint32_t aTokens) {
                         constexpr std::size_t kStreams = 20;
                         standins::MakeCalls(aOne.Calls(kStreams, aTokens));
                         return static_cast<double>(kStreams) * aTokens;
                       });
}

void
MeasureRequests(const std::string& aBinaries)
{
  MeasureProcessorTime(aBinaries,
                       "requests of 10 KB",
                       { 250, 500, 1000, 2000 },
                       [](OneOfEach& aOne, std::uint32_t aRequests) {
                         constexpr std::size_t kAtOnce = 50;
                         for (std::size_t done = 0; done < aRequests;
                              done += kAtOnce) {
                           standins::MakeCalls(aOne.Calls(kAtOnce, 1));
                         }
                         return static_cast<double>(aRequests);
                       });
}

void
MeasureEvents(const std::string& aBinaries)
{
  // Each prompt is new, so that each of its blocks is an event; the cost of
  // the same requests without new blocks is in the line of least squares.
  std::vector<Point> companion;
  constexpr std::size_t kRequests = 40;
  for (const std::size_t blocks : { 64U, 128U, 256U, 512U }) {
    OneOfEach one(aBinaries, "events-" + std::to_string(blocks), 1000);
    standins::MakeCalls(one.Calls(1, 2));
    const double before = one.mFleet.Usage("e").second;
    for (std::size_t i = 0; i < kRequests; ++i) {
      auto calls = one.Calls(1, 1);
      calls[0].mLevels = { "prompt " + std::to_string(i) +
                           std::string(blocks * 256, 'p') };
      standins::MakeCalls(calls);
    }
    std::this_thread::sleep_for(Millis(500)); // The events come late.
    const auto size = static_cast<double>(kRequests * blocks);
    companion.push_back(
      { size, 1e6 * (one.mFleet.Usage("e").second - before) });
  }
  PrintFit("companion: processor time by new blocks (prompt and event)",
           "us",
           companion);
}

/// Seconds until a new model is known to all routers.
double
TimeToBeInForce(Fleet& aFleet,
                const std::vector<std::string>& aRouters,
                const std::string& aModel)
{
  const auto begin = state::BootClock::now();
  aFleet.Apply("config/models/" + aModel, R"({"weights":1})");
  for (const auto& name : aRouters) {
    transport::HttpRequest request;
    request.mTarget = "/v1/models";
    request.mFields = { { "authorization", "Bearer k" } };
    bool isInForce = false;
    while (!isInForce) {
      const auto answer = Fleet::Call(aFleet.Process(name).mTraffic, request);
      isInForce = answer && answer->mBody.find(aModel) != std::string::npos;
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

/// A fleet of some routers and four companions of one zone.
class ManyRouters
{
public:
  /// @param aWatchers  settings of the watching, as JSON
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

/// What the platform is asked by watchers and by all, and how fast a change is
/// in force. Watches of 2 s stand for the usual 30 s.
void
MeasureWatching(const std::string& aBinaries)
{
  constexpr double kSeconds = 10;
  constexpr int kChanges = 10;
  constexpr Millis kSettled{ 6000 };
  for (const bool isFew : { false, true }) {
    std::vector<Point> calls;
    std::vector<Point> bytes;
    std::vector<Point> slowest;
    for (const std::size_t routers : { 8U, 16U, 32U, 64U }) {
      ManyRouters many(aBinaries,
                       routers,
                       isFew ? R"({"allBelow":0})" : R"({"allBelow":999})");
      Fleet& fleet = many.mFleet;
      std::this_thread::sleep_for(kSettled);
      const auto asked = [&] {
        return fleet.Metric("r0", "shuntjunction_config_peer_bytes");
      };
      const double callsBefore = PlatformCalls(fleet);
      const double bytesBefore = asked();
      std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
      const auto size = static_cast<double>(routers);
      calls.push_back(
        { size, (PlatformCalls(fleet) - callsBefore) / kSeconds });
      bytes.push_back({ size, (asked() - bytesBefore) / kSeconds });
      double worst = 0;
      for (int i = 0; i < kChanges; ++i) {
        worst = std::max(
          worst,
          TimeToBeInForce(fleet, many.mRouters, "model-" + std::to_string(i)));
      }
      slowest.push_back({ size, 1000 * worst });
    }
    const std::string who = isFew ? "three watch" : "all watch";
    PrintFit("platform calls a second by routers, " + who, "", calls);
    PrintFit("bytes a second that a router asks, " + who, "B", bytes);
    PrintFit("longest of 10 changes by routers, " + who, "ms", slowest);
  }
}

/// What a process that does not watch asks for one change, by the size of the
/// configuration.
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
    TimeToBeInForce(fleet, many.mRouters, "first");
    const auto asked = [&] {
      return fleet.Metric("r0", "shuntjunction_config_peer_bytes");
    };
    std::this_thread::sleep_for(Millis(2000));
    const double before = asked();
    for (int i = 0; i < kChanges; ++i) {
      TimeToBeInForce(fleet, many.mRouters, "model-" + std::to_string(i));
    }
    std::this_thread::sleep_for(Millis(1000)); // The gauge lags.
    bytes.push_back(
      { static_cast<double>(teams), (asked() - before) / kChanges });
  }
  PrintFit("bytes asked a change by teams, questions included", "B", bytes);
}

void
MeasureAdded(const std::string& aBinaries)
{
  OneOfEach one(aBinaries, "added", 1000);
  const auto measure = [&](bool aIsDirect) {
    std::vector<double> first;
    std::vector<double> whole;
    for (int i = 0; i < 200; ++i) {
      auto calls = one.Calls(1, 20);
      if (aIsDirect) {
        calls[0].mRouter = one.mFleet.Process("engine").mTraffic;
      }
      const auto outcome = standins::MakeCalls(calls).front();
      first.push_back(1000 * outcome.mFirstToken.count());
      whole.push_back(1000 * outcome.mWholeTime.count());
    }
    std::sort(first.begin(), first.end());
    std::sort(whole.begin(), whole.end());
    std::printf("| %s | first token p50 %.2f ms, p95 %.2f ms; whole answer of "
                "20 tokens p50 %.2f ms, p95 %.2f ms |\n",
                aIsDirect ? "direct to the engine" : "through both processes",
                first[100],
                first[190],
                whole[100],
                whole[190]);
  };
  measure(false);
  measure(true);
}

void
MeasureIdle(const std::string& aBinaries)
{
  constexpr double kSeconds = 10;
  OneOfEach one(aBinaries, "idle", 1000);
  std::this_thread::sleep_for(Millis(4000)); // Let the status be written.
  const double calls = PlatformCalls(one.mFleet);
  const double router = one.mFleet.Usage("r").second;
  const double companion = one.mFleet.Usage("e").second;
  std::this_thread::sleep_for(std::chrono::duration<double>(kSeconds));
  std::printf("| idle for %.0f s | router %.4f of a core, companion %.4f of a "
              "core, %.2f platform calls a second for both |\n",
              kSeconds,
              (one.mFleet.Usage("r").second - router) / kSeconds,
              (one.mFleet.Usage("e").second - companion) / kSeconds,
              (PlatformCalls(one.mFleet) - calls) / kSeconds);
  std::printf("| peak memory, idle | router %lld KB, companion %lld KB |\n",
              static_cast<long long>(Resident(one.mFleet, "r")),
              static_cast<long long>(Resident(one.mFleet, "e")));
}

} // namespace
} // namespace shuntjunction::bench

int
main(int aCount, char** aArguments)
{
  using namespace shuntjunction::bench;
  using Measure = void (*)(const std::string&);
  const std::vector<std::pair<std::string, Measure>> measures{
    { "streams", MeasureStreams },   { "tokens", MeasureTokens },
    { "requests", MeasureRequests }, { "events", MeasureEvents },
    { "watching", MeasureWatching }, { "added", MeasureAdded },
    { "idle", MeasureIdle },         { "change-bytes", MeasureChangeBytes }
  };
  CLI::App app("What real processes cost by what grows.");
  std::string binaries;
  std::vector<std::string> only;
  app.add_option("--binaries", binaries)->required();
  app.add_option("--only", only, "measurements to make; all by default")
    ->delimiter(',');
  CLI11_PARSE(app, aCount, aArguments);
  std::printf("| slope | points (size: value) | fit | largest residue |\n");
  std::printf("| --- | --- | --- | --- |\n");
  for (const auto& [name, measure] : measures) {
    if (only.empty() ||
        std::find(only.begin(), only.end(), name) != only.end()) {
      measure(binaries);
    }
  }
  return 0;
}
