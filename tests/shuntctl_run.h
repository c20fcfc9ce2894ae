#pragma once

#include <array>
#include <cstdio>
#include <string>

#include <sys/wait.h>

/// The operators' client, run as they would.
namespace shuntjunction::standins {

/// What a command printed, errors too, and its exit code.
struct ShuntctlResult
{
  int mCode = 0;
  std::string mOutput;
};

/// Runs shuntctl with arguments as a shell takes them; waits for its end.
inline ShuntctlResult
RunShuntctl(const std::string& aArguments)
{
  const std::string command = std::string(SHUNTJUNCTION_BINARIES) +
                              "/apps/shuntctl " + aArguments + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  ShuntctlResult result;
  std::array<char, 4096> buffer{};
  while (std::fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
    result.mOutput += buffer.data();
  }
  result.mCode = WEXITSTATUS(pclose(pipe));
  return result;
}

} // namespace shuntjunction::standins
