#pragma once

#include <array>
#include <cstdio>
#include <string>

#include <sys/wait.h>

/// Runs shuntctl, the operators' command line client.
namespace shuntjunction::standins {

/// Exit code and combined standard output and error of a command.
struct ShuntctlResult
{
  int mCode = 0;
  std::string mOutput;
};

/// Runs shuntctl with shell-quoted arguments and waits for it.
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
