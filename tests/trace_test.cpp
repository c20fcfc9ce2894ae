// shuntctl trace: from several logs, prints the lines of a request and the
// latest earlier events of its endpoint and of the platform connection.

#include <fstream>

#include <gtest/gtest.h>

#include "shuntctl_run.h"

namespace shuntjunction::standins {

class GivenLogsOfARelayAndACompanion : public ::testing::Test
{
protected:
  GivenLogsOfARelayAndACompanion()
  {
    Write("relay.log",
          R"({"time":"2026-06-29T19:57:00.000Z","part":"feed","event":"old"}
{"time":"2026-06-29T19:57:21.000Z","part":"feed","event":"endpoint","endpoint":"i-1"}
{"time":"2026-06-29T19:57:21.500Z","part":"feed","event":"endpoint","endpoint":"i-9"}
{"time":"2026-06-29T19:57:22.000Z","part":"feed","event":"platform-lost"}
{"time":"2026-06-29T19:57:23.000Z","part":"relay","event":"attempt","request":"r2","endpoint":"i-1"}
{"time":"2026-06-29T19:57:24.000Z","part":"relay","event":"attempt","request":"r1","endpoint":"i-1"}
not a line of ours
{"time":"2026-06-29T19:57:24.100Z","part":"relay","event":"request","request":"r1","outcome":"cut"}
{"time":"2026-06-29T19:57:25.000Z","part":"feed","event":"after"}
)");
    Write(
      "companion.log",
      R"({"time":"2026-06-29T19:57:23.900Z","part":"news","event":"engine-lost","endpoint":"i-1"}
{"time":"2026-06-29T19:57:23.950Z","part":"process","event":"others"}
)");
  }

  static std::string Path(const std::string& aName)
  {
    return ::testing::TempDir() + "trace-test-" + aName;
  }

  static void Write(const std::string& aName, const std::string& aText)
  {
    std::ofstream(Path(aName)) << aText;
  }

  static ShuntctlResult Trace(const std::string& aId)
  {
    return RunShuntctl("trace " + aId + " " + Path("relay.log") + " " +
                       Path("companion.log"));
  }
};

TEST_F(GivenLogsOfARelayAndACompanion,
       ARequestsLinesComeWithEarlierEventsOfItsEndpoint)
{
  const auto [code, output] = Trace("r1");
  EXPECT_EQ(code, 0);
  std::vector<std::string> events;
  std::size_t at = 0;
  constexpr std::string_view kEvent = R"("event":")";
  while ((at = output.find(kEvent, at)) != std::string::npos) {
    at += kEvent.size();
    events.push_back(output.substr(at, output.find('"', at) - at));
  }
  const std::vector<std::string> expected{
    "endpoint", "platform-lost", "engine-lost", "attempt", "request"
  };
  EXPECT_EQ(events, expected) << output;
}

TEST_F(GivenLogsOfARelayAndACompanion, AnUnknownIdIsReported)
{
  const auto [code, output] = Trace("r7");
  constexpr int kNotFound = 5;
  EXPECT_EQ(code, kNotFound);
  EXPECT_NE(output.find("no line of request r7"), std::string::npos);
}

} // namespace shuntjunction::standins
