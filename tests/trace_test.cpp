// The story of a request as its logs tell it.

#include <array>
#include <cstdio>
#include <fstream>

#include <gtest/gtest.h>

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

  /// Runs shuntctl trace; its output, and its exit code.
  static std::pair<std::string, int> Trace(const std::string& aId)
  {
    const std::string command =
      std::string(SHUNTJUNCTION_BINARIES) + "/apps/shuntctl trace " + aId +
      " " + Path("relay.log") + " " + Path("companion.log") + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    std::string output;
    std::array<char, 4096> buffer{};
    while (std::fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
      output += buffer.data();
    }
    return { output, WEXITSTATUS(pclose(pipe)) };
  }
};

TEST_F(GivenLogsOfARelayAndACompanion, ARequestsLinesComeWithWhatWasBelieved)
{
  const auto [output, code] = Trace("r1");
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

TEST_F(GivenLogsOfARelayAndACompanion, AnUnknownIdIsSaidToBeSo)
{
  const auto [output, code] = Trace("r7");
  constexpr int kNotFound = 5;
  EXPECT_EQ(code, kNotFound);
  EXPECT_NE(output.find("no line of request r7"), std::string::npos);
}

} // namespace shuntjunction::standins
