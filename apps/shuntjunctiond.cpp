// shuntjunctiond: a router or a companion, by its settings.

#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

#include "shuntjunction/coordination/daemon.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/state/settings.h"

namespace {

using namespace shuntjunction;

constexpr int kExitBadSettings = 2;
constexpr int kExitNotStarted = 3;

state::Result<state::Settings>
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return state::Fail(state::ErrorCode::kNotFound,
                       "settings.read",
                       "",
                       "the file " + aFile + " cannot be opened");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return state::ReadSettings(text.str(), aFile);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("shuntjunction: a router or companion process.");
  std::string file;
  bool isCheck = false;
  app.add_option("--settings", file, "settings file, JSON with comments")
    ->required();
  app.add_flag("--check", isCheck, "check the settings and exit");
  app.set_version_flag("--version", SHUNTJUNCTION_VERSION);
  CLI11_PARSE(app, aCount, aArguments);

  const auto settings = ReadFile(file);
  if (!settings) {
    std::cerr << settings.error().Describe() << "\n";
    return kExitBadSettings;
  }
  if (isCheck) {
    std::cout << file << " is good.\n";
    return 0;
  }
  coordination::StartLog(settings->mLogFormat, settings->mLogLevel);
  coordination::Daemon daemon(*settings);
  const auto addresses = daemon.Start();
  if (!addresses) {
    std::cerr << addresses.error().Describe() << "\n";
    return kExitNotStarted;
  }
  std::cout << R"({"traffic":")" << addresses->mTraffic.Text()
            << R"(","admin":")" << addresses->mAdmin.Text() << R"("})"
            << std::endl;
  daemon.Wait();
  return 0;
}
