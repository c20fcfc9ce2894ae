// shuntjunctiond: the daemon. Its settings file makes it a router or a
// companion. On the users' platform, which names the file in an environment
// variable, it is a relay or the companion of an engine behind relays.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <CLI/CLI.hpp>

#include "shuntjunction/coordination/daemon.h"
#include "shuntjunction/coordination/fleet_daemon.h"
#include "shuntjunction/coordination/log.h"
#include "shuntjunction/platform/boot_settings.h"
#include "shuntjunction/platform/call_codec.h"
#include "shuntjunction/platform/http_engine_control.h"
#include "shuntjunction/platform/object_codec.h"
#include "shuntjunction/platform/object_store.h"
#include "shuntjunction/state/settings.h"

namespace {

using namespace shuntjunction;

constexpr int kExitBadSettings = 2;
constexpr int kExitNotStarted = 3;

/// Timeout of a call to the platform's store; a watch adds its own wait.
constexpr state::Millis kStoreTimeout{ 700 };

/// Timeout of a call to the engine on this instance.
constexpr state::Millis kEngineTimeout{ 250 };

state::Result<std::string>
ReadTextFile(const std::string& aFile)
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
  return text.str();
}

state::Result<state::Settings>
ReadSettingsFile(const std::string& aFile)
{
  const auto text = ReadTextFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return state::ReadSettings(*text, aFile);
}

state::Result<coordination::FleetSettings>
ReadBootSettingsFile(const std::string& aFile)
{
  const auto text = ReadTextFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return platform::ReadBootSettings(*text, aFile);
}

/// Runs a process on the users' platform, with the role that its settings file
/// gives.
int
RunFleetProcess(const std::string& aFile, bool aIsCheckOnly)
{
  const auto settings = ReadBootSettingsFile(aFile);
  if (!settings) {
    std::cerr << settings.error().Describe() << "\n";
    return kExitBadSettings;
  }
  if (aIsCheckOnly) {
    std::cout << aFile << " is valid.\n";
    return 0;
  }
  const auto store = state::ParseAddress(settings->mPlatform);
  platform::ObjectStore objects(*store, kStoreTimeout);
  const platform::ObjectCodec objectCodec;
  const platform::CallCodec callCodec;
  auto daemon = std::make_unique<coordination::FleetDaemon>(
    *settings,
    coordination::FleetAdapter{
      objects,
      objectCodec,
      callCodec,
      [](const state::Address& aAddress) {
        return std::make_unique<platform::HttpEngineControl>(aAddress,
                                                             kEngineTimeout);
      } },
    [aFile] { return ReadBootSettingsFile(aFile); });
  const auto started = daemon->Start();
  if (!started) {
    std::cerr << started.error().Describe() << "\n";
    return kExitNotStarted;
  }
  daemon->Run();
  daemon.reset();
  // The daemon has stopped and its log is written. quick_exit skips the
  // libraries' exit handlers, which would wait for idle threads until the
  // platform's stop grace has run out.
  std::quick_exit(0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("shuntjunction: a router or companion process.");
  std::string file;
  bool isCheckOnly = false;
  app.add_option("--settings", file, "settings file, JSON with comments");
  app.add_flag("--check", isCheckOnly, "check the settings and exit");
  app.set_version_flag("--version", SHUNTJUNCTION_VERSION);
  CLI11_PARSE(app, aCount, aArguments);

  const char* bootFile = std::getenv(platform::kConfigFileVariable);
  if (file.empty() && bootFile != nullptr) {
    return RunFleetProcess(bootFile, isCheckOnly);
  }
  const auto settings = ReadSettingsFile(file);
  if (!settings) {
    std::cerr << settings.error().Describe() << "\n";
    return kExitBadSettings;
  }
  if (isCheckOnly) {
    std::cout << file << " is valid.\n";
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
