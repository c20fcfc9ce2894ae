// Commands that query processes or watch the platform.

#include "ctl_commands.h"

#include <algorithm>
#include <ostream>
#include <thread>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "ctl_text.h"
#include "shuntjunction/coordination/http_platform.h"
#include "shuntjunction/coordination/status_writer.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/request_target.h"
#include "shuntjunction/transport/run_task.h"

namespace shuntjunction::ctl {

namespace json = boost::json;
using state::Millis;
using state::Result;
using transport::HttpRequest;

namespace {

constexpr Millis kWatchWait{ 20000 };
constexpr Millis kActivationPollInterval{ 200 };

/// Field of a status as it is printed; "-" when absent.
std::string
TextOf(const json::object& aStatus, std::string_view aKey)
{
  const auto* value = aStatus.if_contains(aKey);
  return value == nullptr ? std::string("-") : FormatValue(*value);
}

/// Field of a status, which any writer may have written; 0 if it is no unsigned
/// number.
std::uint64_t
NumberOf(const json::object& aStatus, std::string_view aKey)
{
  const auto* value = aStatus.if_contains(aKey);
  json::error_code error;
  const auto number =
    value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

} // namespace

Result<std::vector<json::object>>
Commands::ReadStatuses()
{
  const auto list = List(std::string(coordination::kStatusPrefix));
  if (!list) {
    return tl::unexpected(list.error());
  }
  std::vector<json::object> statuses;
  for (const auto& object : list->mObjects) {
    const auto value = state::ParseJson(object.mValue, object.mKey);
    if (value && value->is_object()) {
      statuses.push_back(value->as_object());
    }
  }
  return statuses;
}

int
Commands::Status()
{
  const auto statuses = ReadStatuses();
  if (!statuses) {
    return ReportError(statuses.error());
  }
  const Row header{ "name",     "role",  "zone",    "epoch", "version",
                    "stopping", "model", "weights", "admin", "quarantined" };
  std::vector<Row> rows;
  for (const auto& status : *statuses) {
    Row row;
    row.reserve(header.size());
    for (const auto& key : header) {
      row.push_back(TextOf(status, key));
    }
    rows.push_back(std::move(row));
  }
  PrintTable(header, rows);
  return ToExitStatus(ExitCode::kDone);
}

int
Commands::Watch()
{
  const auto list = List(std::string(state::kConfigPrefix));
  if (!list) {
    return ReportError(list.error());
  }
  std::uint64_t after = list->mRevision;
  std::int64_t printed = 0;
  while (mOptions.mChanges == 0 || printed < mOptions.mChanges) {
    const auto watch = transport::RunTask(
      mContext,
      mPlatform.Watch(std::string(state::kConfigPrefix), after, kWatchWait));
    if (!watch) {
      return ReportError(watch.error());
    }
    for (const auto& change : watch->mChanges) {
      mOut << change.mRevision << "  " << ShortKey(change.mKey) << "  "
           << (change.mValue.empty() ? "deleted" : change.mValue) << std::endl;
      ++printed;
    }
    after = watch->mRevision;
  }
  return ToExitStatus(ExitCode::kDone);
}

int
Commands::Adopt()
{
  const auto statuses = ReadStatuses();
  const auto found = Read(std::string(state::kEpochKey));
  if (!statuses || !found) {
    return ReportError(statuses ? found.error() : statuses.error());
  }
  std::uint64_t maxEpoch = 0;
  for (const auto& status : *statuses) {
    maxEpoch = std::max(maxEpoch, NumberOf(status, "epoch"));
  }
  if (*found) {
    const auto value = state::ParseJson((*found)->mValue, state::kEpochKey);
    const auto epoch =
      value ? state::ReadEpoch(*value) : Result<std::uint64_t>(0);
    maxEpoch = std::max(maxEpoch, epoch.value_or(0));
  }
  const auto written =
    Write(std::string(state::kEpochKey),
          json::serialize(json::object{ { "epoch", maxEpoch + 1 } }),
          *found ? (*found)->mRevision : 0);
  if (!written) {
    return ReportError(written.error());
  }
  mOut << "epoch " << maxEpoch + 1 << ": every process will follow the "
       << "platform's current objects\n";
  return ToExitStatus(ExitCode::kDone);
}

int
Commands::Drain()
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/drain";
  const auto response = SendAdminRequest(std::move(request));
  if (!response) {
    return ReportError(response.error());
  }
  mOut << response->mBody;
  return ToExitStatus(response->mStatus == 202 ? ExitCode::kDone
                                               : ExitCode::kBadInput);
}

int
Commands::Explain()
{
  const auto body = ReadTextFile(mOptions.mFile);
  if (!body) {
    return ReportError(body.error());
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget =
    "/explain?team=" + transport::EncodeQueryValue(mOptions.mTeam);
  request.mContentType = "application/json";
  request.mBody = *body;
  const auto response = SendAdminRequest(std::move(request));
  if (!response) {
    return ReportError(response.error());
  }
  if (response->mStatus != 200) {
    mErr << "shuntctl: " << response->mBody;
    return ToExitStatus(ExitCode::kBadInput);
  }
  const auto value = state::ParseJson(response->mBody, "answer");
  std::vector<Row> rows;
  for (const auto& item : value->as_object().at("endpoints").as_array()) {
    const auto& row = item.as_object();
    const bool isCandidate = row.at("candidate").as_bool();
    std::string reason = "outside the prompt's group";
    if (row.at("chosen").as_bool()) {
      reason = "chosen: the lowest cost";
    } else if (isCandidate) {
      reason = row.at("replied").as_bool()
                 ? "asked: costs more"
                 : "asked: no answer, or not accepting";
    }
    rows.push_back({ FormatValue(row.at("endpoint")),
                     FormatValue(row.at("zone")),
                     FormatValue(row.at("health")),
                     isCandidate ? FormatValue(row.at("cachedBlocks")) : "-",
                     isCandidate ? FormatValue(row.at("waitMicros")) : "-",
                     isCandidate ? FormatValue(row.at("costMicros")) : "-",
                     reason });
  }
  PrintTable({ "endpoint",
               "zone",
               "health",
               "cached blocks",
               "wait us",
               "cost us",
               "why" },
             rows);
  return ToExitStatus(ExitCode::kDone);
}

Result<std::vector<std::string>>
Commands::OutdatedInstances(std::uint64_t aRevision)
{
  const auto live =
    transport::RunTask(mContext, mPlatform.Instances(0, Millis(0)));
  const auto statuses = ReadStatuses();
  if (!live || !statuses) {
    return tl::unexpected(live ? statuses.error() : live.error());
  }
  std::vector<std::string> outdated;
  for (const auto& instance : live->mInstances) {
    const auto reported = std::find_if(
      statuses->begin(), statuses->end(), [&](const auto& aStatus) {
        return TextOf(aStatus, "name") == instance.mName;
      });
    const bool isActive = reported != statuses->end() &&
                          NumberOf(*reported, "version") >= aRevision;
    if (!instance.mIsLeaving && !isActive) {
      outdated.push_back(instance.mName);
    }
  }
  return outdated;
}

int
Commands::AwaitActivation(std::uint64_t aRevision)
{
  const auto deadline = state::BootClock::now() + Millis(mOptions.mWaitMs);
  auto outdated = OutdatedInstances(aRevision);
  while (outdated && !outdated->empty() && state::BootClock::now() < deadline) {
    std::this_thread::sleep_for(kActivationPollInterval);
    outdated = OutdatedInstances(aRevision);
  }
  if (!outdated) {
    return ReportError(outdated.error());
  }
  if (outdated->empty()) {
    mOut << "in force on every live process\n";
    return ToExitStatus(ExitCode::kDone);
  }
  mErr << "shuntctl: not reported to be in force on:";
  for (const auto& name : *outdated) {
    mErr << " " << name;
  }
  mErr << "\n";
  return ToExitStatus(ExitCode::kNotActive);
}

} // namespace shuntjunction::ctl
