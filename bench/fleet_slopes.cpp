// shuntslopes: what real routers and companions cost by what grows: open
// streams, tokens, requests, idle time; and what they add to a direct call.

#include <algorithm>
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

void
MeasureTokens(const std::string& aBinaries)
{
  std::vector<Point> router;
  std::vector<Point> companion;
  constexpr std::size_t kStreams = 20;
  for (const std::uint32_t tokens : { 500U, 1000U, 2000U, 4000U }) {
    OneOfEach one(aBinaries, "tokens-" + std::to_string(tokens), 1000);
    standins::MakeCalls(one.Calls(1, 2));
    const double routerBefore = one.mFleet.Usage("r").second;
    const double companionBefore = one.mFleet.Usage("e").second;
    standins::MakeCalls(one.Calls(kStreams, tokens));
    const double size = static_cast<double>(kStreams) * tokens;
    router.push_back(
      { size, 1e6 * (one.mFleet.Usage("r").second - routerBefore) });
    companion.push_back(
      { size, 1e6 * (one.mFleet.Usage("e").second - companionBefore) });
  }
  PrintFit("router: processor time by tokens", "us", router);
  PrintFit("companion: processor time by tokens", "us", companion);
}

void
MeasureRequests(const std::string& aBinaries)
{
  std::vector<Point> router;
  std::vector<Point> companion;
  for (const std::size_t requests : { 250U, 500U, 1000U, 2000U }) {
    OneOfEach one(aBinaries, "requests-" + std::to_string(requests), 1000);
    standins::MakeCalls(one.Calls(1, 2));
    const double routerBefore = one.mFleet.Usage("r").second;
    const double companionBefore = one.mFleet.Usage("e").second;
    constexpr std::size_t kAtOnce = 50;
    for (std::size_t done = 0; done < requests; done += kAtOnce) {
      standins::MakeCalls(one.Calls(kAtOnce, 1));
    }
    const auto size = static_cast<double>(requests);
    router.push_back(
      { size, 1e6 * (one.mFleet.Usage("r").second - routerBefore) });
    companion.push_back(
      { size, 1e6 * (one.mFleet.Usage("e").second - companionBefore) });
  }
  PrintFit("router: processor time by requests of 10 KB", "us", router);
  PrintFit("companion: processor time by requests of 10 KB", "us", companion);
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

void
MeasurePropagation(const std::string& aBinaries)
{
  constexpr std::size_t kRouters = 12;
  constexpr int kChanges = 20;
  OneOfEach one(aBinaries, "propagation", 1000);
  std::vector<std::string> names{ "r" };
  for (std::size_t i = 1; i < kRouters; ++i) {
    names.push_back("r" + std::to_string(i));
    one.mFleet.StartRouter(names.back(), "z");
    one.mFleet.AwaitReady(names.back());
  }
  std::vector<double> times;
  for (int change = 0; change < kChanges; ++change) {
    const std::string model = "model-" + std::to_string(change);
    const auto begin = std::chrono::steady_clock::now();
    one.mFleet.Apply("config/models/" + model, R"({"weights":1})");
    for (const auto& name : names) {
      transport::HttpRequest request;
      request.mTarget = "/v1/models";
      request.mFields = { { "authorization", "Bearer k" } };
      bool isInForce = false;
      while (!isInForce) {
        const auto answer =
          Fleet::Call(one.mFleet.Process(name).mTraffic, request);
        isInForce = answer && answer->mBody.find(model) != std::string::npos;
      }
    }
    const std::chrono::duration<double, std::milli> time =
      std::chrono::steady_clock::now() - begin;
    times.push_back(time.count());
  }
  std::sort(times.begin(), times.end());
  std::printf("| a change, from its write to in force on %zu routers | median "
              "%.0f ms, longest of %d %.0f ms |\n",
              kRouters,
              times[kChanges / 2],
              kChanges,
              times.back());
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
  CLI::App app("What real processes cost by what grows.");
  std::string binaries;
  app.add_option("--binaries", binaries)->required();
  CLI11_PARSE(app, aCount, aArguments);
  std::printf("| slope | points (size: value) | fit | largest residue |\n");
  std::printf("| --- | --- | --- | --- |\n");
  MeasureStreams(binaries);
  MeasureTokens(binaries);
  MeasureRequests(binaries);
  MeasureEvents(binaries);
  std::printf("\n| measurement | result |\n| --- | --- |\n");
  MeasureAdded(binaries);
  MeasureIdle(binaries);
  MeasurePropagation(binaries);
  return 0;
}
