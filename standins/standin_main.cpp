// shuntstandin: runs a stand-in of an external system as a process.

#include <iostream>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "engine_standin.h"
#include "platform_standin.h"
#include "service_standin.h"

namespace {

using namespace shuntjunction;

/// A handler and the address it listens on.
struct Listener
{
  std::string mName; ///< key of the bound address in the printed JSON
  transport::HttpHandler* mHandler = nullptr;
  std::string mListen;
};

/// Prints the bound addresses and serves until SIGTERM or SIGINT.
int
Serve(boost::asio::io_context& aContext,
      const std::vector<Listener>& aListeners)
{
  state::LimitSettings limits;
  limits.mMaxBodyBytes = 64L * 1024 * 1024;
  limits.mMaxConnections = 100000;
  std::vector<std::unique_ptr<transport::HttpServer>> servers;
  boost::json::object addresses;
  for (const auto& listener : aListeners) {
    servers.push_back(std::make_unique<transport::HttpServer>(
      aContext, limits, *listener.mHandler));
    const auto address = state::ParseAddress(listener.mListen);
    const auto bound =
      address ? servers.back()->Start(*address)
              : state::Result<state::Address>(tl::unexpected(address.error()));
    if (!bound) {
      std::cerr << bound.error().Describe() << "\n";
      return 1;
    }
    addresses[listener.mName] = bound->Text();
  }
  std::cout << boost::json::serialize(addresses) << std::endl;
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { aContext.stop(); });
  aContext.run();
  return 0;
}

void
AddEngineOptions(CLI::App& aCommand, standins::EngineSettings& aSettings)
{
  aCommand.add_option("--slots", aSettings.mSlots);
  aCommand.add_option("--cache-blocks", aSettings.mCacheBlocks);
  aCommand.add_option("--micros-per-block", aSettings.mMicrosPerBlock);
  aCommand.add_option("--micros-per-token", aSettings.mMicrosPerToken);
  aCommand.add_option("--tokens", aSettings.mDefaultTokens);
  aCommand.add_option("--event-delay-ms", aSettings.mEventDelayMs);
  aCommand.add_option("--event-loss", aSettings.mEventLoss);
  aCommand.add_option("--fail-share", aSettings.mFailShare);
  aCommand.add_option("--load-ms", aSettings.mLoadMs);
  aCommand.add_option("--model", aSettings.mModel);
  aCommand.add_option("--weights", aSettings.mWeights);
  aCommand.add_option("--weight-store", aSettings.mWeightStore);
  aCommand.add_option("--seed", aSettings.mSeed);
  aCommand.add_flag("!--ignores-fences", aSettings.mChecksFences);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("Stand-ins of the systems that shuntjunction talks to.");
  std::string listen = "127.0.0.1:0";
  std::uint64_t seed = 1;
  std::int64_t delayMs = 10;
  standins::EngineSettings engine;
  app.require_subcommand(1);
  app.add_option("--listen", listen, "address to listen on");
  auto* platform = app.add_subcommand("platform", "the object API");
  platform->add_option("--seed", seed, "seed of the injected faults");
  auto* service = app.add_subcommand("service", "a plain service");
  service->add_option("--delay-ms", delayMs, "duration of a call");
  AddEngineOptions(*app.add_subcommand("engine", "a model engine"), engine);
  CLI11_PARSE(app, aCount, aArguments);
  boost::asio::io_context context(1);
  if (*platform) {
    standins::PlatformStandin standin(seed);
    standins::SecondaryAddress secondary(standin);
    return Serve(context,
                 { { "traffic", &standin, listen },
                   { "far", &secondary, "127.0.0.1:0" } });
  }
  if (*service) {
    standins::ServiceStandin standin{ state::Millis(delayMs) };
    return Serve(context, { { "traffic", &standin, listen } });
  }
  standins::EngineStandin standin(context, engine);
  return Serve(context, { { "traffic", &standin, listen } });
}
