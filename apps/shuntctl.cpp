// shuntctl: the operators' command-line client.

#include <iostream>

#include <CLI/CLI.hpp>

#include "ctl_commands.h"
#include "ctl_logs.h"

namespace {

using namespace shuntjunction;

void
AddPlatform(CLI::App& aCommand, ctl::Options& aOptions)
{
  aCommand
    .add_option(
      "--platform", aOptions.mPlatform, "IP:PORT of the platform's object API")
    ->envname("SHUNTCTL_PLATFORM")
    ->required();
}

void
AddAdmin(CLI::App& aCommand, ctl::Options& aOptions)
{
  aCommand
    .add_option(
      "--admin", aOptions.mAdmin, "IP:PORT of a process's admin interface")
    ->required();
  aCommand
    .add_option("--secret", aOptions.mSecret, "shared secret of the system")
    ->envname("SHUNTCTL_SECRET")
    ->required();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app(
    "Declares templates, teams, models and endpoints, and shows whether "
    "every process has applied them.\n\nExit codes: 0 done; 1 usage; 2 bad "
    "input; 3 conflict: another operator changed the object first; 4 the "
    "platform or process does not answer; 5 not found; 6 not in force in "
    "time.");
  ctl::Options options;
  app.set_version_flag("--version", SHUNTJUNCTION_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--output", options.mOutput, "output format: table or json")
    ->check(CLI::IsMember({ "table", "json" }));

  auto* apply = app.add_subcommand(
    "apply",
    "write the objects of a file, each only if its revision is unchanged");
  AddPlatform(*apply, options);
  apply->add_option("file", options.mFile, "JSON: {\"KIND/NAME\": {...}, ...}")
    ->required();
  apply->add_option(
    "--if-revision",
    options.mIfRevision,
    "write only if the file's one object has this revision; 0: only if it "
    "does not exist");
  apply->add_option(
    "--wait-ms",
    options.mWaitMs,
    "milliseconds to wait until it is in force on every live process");

  auto* get = app.add_subcommand("get", "show objects");
  AddPlatform(*get, options);
  get->add_option("name", options.mName, "KIND/NAME, KIND, or nothing for all");

  auto* diff =
    app.add_subcommand("diff", "show what apply would change, without writing");
  AddPlatform(*diff, options);
  diff->add_option("file", options.mFile)->required();

  auto* erase = app.add_subcommand("delete", "delete one object");
  AddPlatform(*erase, options);
  erase->add_option("name", options.mName, "KIND/NAME")->required();
  erase->add_option("--if-revision", options.mIfRevision);

  auto* status =
    app.add_subcommand("status", "show what every process has in force");
  AddPlatform(*status, options);

  auto* watch = app.add_subcommand("watch", "print changes as they happen");
  AddPlatform(*watch, options);
  watch->add_option(
    "--changes", options.mChanges, "exit after this many changes; 0: never");

  auto* adopt = app.add_subcommand(
    "adopt", "make every process follow a platform restored to an older state");
  AddPlatform(*adopt, options);

  auto* drain = app.add_subcommand("drain", "stop a process gracefully");
  AddAdmin(*drain, options);

  auto* explain = app.add_subcommand(
    "explain",
    "show which endpoint a router would choose for a request, and why");
  AddAdmin(*explain, options);
  explain->add_option("--team", options.mTeam)->required();
  explain
    ->add_option("file", options.mFile, "body of a chat completion request")
    ->required();

  auto* trace = app.add_subcommand(
    "trace",
    "print the lines of one request from the logs of relays and companions");
  std::vector<std::string> logs;
  trace->add_option("id", options.mName, "request id")->required();
  trace->add_option("logs", logs, "log files, one per process")->required();

  CLI11_PARSE(app, aCount, aArguments);

  if (*trace) {
    return ctl::TraceRequest(options.mName, logs, std::cout, std::cerr);
  }

  ctl::Commands commands(options, std::cout, std::cerr);
  if (*apply) {
    return commands.Apply();
  }
  if (*get) {
    return commands.Get();
  }
  if (*diff) {
    return commands.Diff();
  }
  if (*erase) {
    return commands.Delete();
  }
  if (*status) {
    return commands.Status();
  }
  if (*watch) {
    return commands.Watch();
  }
  if (*adopt) {
    return commands.Adopt();
  }
  return *drain ? commands.Drain() : commands.Explain();
}
