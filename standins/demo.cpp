// shuntdemo: starts two routers, three endpoints and a plain service as
// separate processes and sends calls with long shared prompts. One endpoint is
// killed while the answers are streamed; every stream must still be complete.

#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>

#include "caller.h"
#include "fleet.h"

namespace {

using namespace shuntjunction;
using standins::CallEnd;
using standins::CallOutcome;
using standins::Fleet;
using standins::ModelCall;

constexpr std::size_t kCalls = 24;
constexpr std::uint32_t kTokens = 120;
constexpr state::Millis kKillDelay{ 400 };
constexpr state::Millis kBookingPause{ 300 };

void
Print(const std::string& aText)
{
  std::cout << "demo: " << aText << std::endl;
}

/// Filler text of at least aBytes; equal names give a common prefix.
std::string
Text(const std::string& aName, std::size_t aBytes)
{
  std::string text;
  while (text.size() < aBytes) {
    text += aName + " paragraph " + std::to_string(text.size()) + ". ";
  }
  return text;
}

void
StartFleet(Fleet& aFleet)
{
  aFleet.StartPlatform();
  aFleet.Apply("config/teams/clinic-north",
               R"({"keyDigests":[")" + standins::KeyDigest("north-key") +
                 R"("]})");
  aFleet.Apply("config/teams/clinic-south",
               R"({"keyDigests":[")" + standins::KeyDigest("south-key") +
                 R"("]})");
  aFleet.Apply("config/models/crew-notes", R"({"weights":1})");
  aFleet.Apply("config/services/booking", R"({"urgency":"urgent"})");
  aFleet.Apply("config/endpoints/booking-1", R"({"service":"booking"})");
  const std::vector<std::string> zones{ "imanta", "teika", "purvciems" };
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const std::string number = std::to_string(i + 1);
    aFleet.Apply("config/endpoints/endpoint-" + number,
                 R"({"model":"crew-notes"})");
    aFleet.StartEngine("engine-" + number, { "--micros-per-token", "8000" });
    aFleet.StartCompanion("endpoint-" + number, "engine-" + number, zones[i]);
  }
  aFleet.StartService("service-1", 30);
  aFleet.StartCompanion("booking-1", "service-1", "teika", false);
  aFleet.StartRouter("router-1", "imanta");
  aFleet.StartRouter("router-2", "teika");
  aFleet.AwaitEngines("crew-notes", zones.size());
  aFleet.AwaitReady("router-1");
  aFleet.AwaitReady("router-2");
}

std::vector<CallOutcome>
RunCalls(const Fleet& aFleet, const std::function<void()>& aMidRun)
{
  std::vector<ModelCall> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const bool isNorth = i % 2 == 0;
    ModelCall call;
    call.mRouter = aFleet.Process(i % 4 < 2 ? "router-1" : "router-2").mTraffic;
    call.mKey = isNorth ? "north-key" : "south-key";
    call.mModel = "crew-notes";
    call.mTokens = kTokens;
    call.mLevels = { Text(isNorth ? "rules of the north" : "rules of the south",
                          6000),
                     Text("record of patient " + std::to_string(i % 6), 2500),
                     "draft the crew notes of trip " + std::to_string(i) };
    calls.push_back(std::move(call));
  }
  return standins::MakeCalls(calls, kKillDelay, aMidRun);
}

bool
Report(const std::vector<CallOutcome>& aOutcomes)
{
  std::map<std::string, int> ends;
  double slowest = 0;
  for (const auto& outcome : aOutcomes) {
    ++ends[std::string(standins::kCallEndNames.Name(outcome.mEnd))];
    slowest = std::max(slowest, outcome.mFirstToken.count());
    if (outcome.mEnd != CallEnd::kComplete) {
      Print("not complete: status " + std::to_string(outcome.mStatus) + ", " +
            std::to_string(outcome.mText.size()) + " bytes, " + outcome.mBody);
    }
  }
  for (const auto& [name, count] : ends) {
    Print(std::to_string(count) + " of " + std::to_string(aOutcomes.size()) +
          " streams ended as " + name + ".");
  }
  Print("slowest first token: " +
        std::to_string(static_cast<int>(slowest * 1000)) + " ms.");
  return ends["whole"] == static_cast<int>(aOutcomes.size());
}

/// Sends one non-repeatable booking through each router with the same key;
/// returns whether the service ran it exactly once.
bool
BookTwice(const Fleet& aFleet)
{
  transport::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/services/booking/trips";
  request.mContentType = "application/json";
  request.mFields = { { "authorization", "Bearer north-key" },
                      { "idempotency-key", "trip-7" },
                      { "x-not-repeatable", "true" } };
  request.mBody = R"({"patient":7})";
  for (const std::string router : { "router-1", "router-2" }) {
    const auto answer = Fleet::Call(aFleet.Process(router).mTraffic, request);
    Print("booking through " + router + ": " +
          (answer ? std::to_string(answer->mStatus) + " " + answer->mBody
                  : answer.error().Describe()));
    std::this_thread::sleep_for(kBookingPause);
  }
  transport::HttpRequest audit;
  audit.mTarget = "/audit";
  const auto runs = Fleet::Call(aFleet.Process("service-1").mTraffic, audit);
  Print("runs counted by the service: " + (runs ? runs->mBody : "?"));
  return runs && runs->mBody == R"({"trip-7":1})";
}

void
PrintUsage(const Fleet& aFleet)
{
  for (const std::string name :
       { "router-1", "router-2", "endpoint-1", "endpoint-3", "booking-1" }) {
    const auto [peak, seconds] = aFleet.Usage(name);
    Print(name + ": peak memory " + std::to_string(peak) +
          " KB, processor time " +
          std::to_string(static_cast<int>(seconds * 1000)) + " ms.");
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app(
    "Streams through two routers while one of three endpoints is killed.");
  standins::FleetSettings settings;
  settings.mFolder = "build/demo";
  app.add_option("--binaries", settings.mBinaries)->required();
  app.add_option("--folder", settings.mFolder, "folder for settings and logs");
  CLI11_PARSE(app, aCount, aArguments);
  Fleet fleet(settings);
  StartFleet(fleet);
  Print(
    "two routers, three endpoints and a service are running; usage when idle:");
  PrintUsage(fleet);
  Print(std::to_string(kCalls) + " calls of two teams start at the same time.");
  const auto outcomes = RunCalls(fleet, [&] {
    Print("killing the engine and the companion of endpoint-2.");
    fleet.Kill("engine-2");
    fleet.Kill("endpoint-2");
  });
  const bool areComplete = Report(outcomes);
  const bool ranOnce = BookTwice(fleet);
  Print("usage after the load:");
  PrintUsage(fleet);
  fleet.Signal("router-1", SIGTERM);
  Print("router-1 stopped with exit code " +
        std::to_string(fleet.WaitForExit("router-1")) + ".");
  Print(areComplete && ranOnce ? "all checks passed." : "CHECKS FAILED.");
  return areComplete && ranOnce ? 0 : 1;
}
