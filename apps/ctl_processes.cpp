// Commands that look at processes or follow the platform.

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
#include "shuntjunction/transport/run_task.h"

namespace shuntjunction::ctl {

namespace json = boost::json;
using state::Millis;
using state::Result;
using transport::HttpRequest;

namespace {

constexpr Millis kWatchWait{ 20000 };
constexpr Millis kInForcePoll{ 200 };

} // namespace

Result<std::vector<json::object>>
Commands::Statuses()
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
  const auto statuses = Statuses();
  if (!statuses) {
    return Fail(statuses.error());
  }
  const auto text = [](const json::object& aStatus, std::string_view aKey) {
    const auto* value = aStatus.if_contains(aKey);
    return value == nullptr ? std::string("-") : Shown(*value);
  };
  const Row head{ "name",     "role",  "zone",    "epoch", "version",
                  "stopping", "model", "weights", "admin", "quarantined" };
  std::vector<Row> rows;
  for (const auto& status : *statuses) {
    Row row;
    row.reserve(head.size());
    for (const auto& key : head) {
      row.push_back(text(status, key));
    }
    rows.push_back(std::move(row));
  }
  Print(head, rows);
  return Code(ExitCode::kDone);
}

int
Commands::Watch()
{
  const auto list = List(std::string(state::kConfigPrefix));
  if (!list) {
    return Fail(list.error());
  }
  std::uint64_t after = list->mRevision;
  std::int64_t seen = 0;
  while (mOptions.mChanges == 0 || seen < mOptions.mChanges) {
    const auto watch = transport::RunTask(
      mContext,
      mPlatform.Watch(std::string(state::kConfigPrefix), after, kWatchWait));
    if (!watch) {
      return Fail(watch.error());
    }
    for (const auto& change : watch->mChanges) {
      mOut << change.mRevision << "  " << ShortKey(change.mKey) << "  "
           << (change.mValue.empty() ? "deleted" : change.mValue) << std::endl;
      ++seen;
    }
    after = watch->mRevision;
  }
  return Code(ExitCode::kDone);
}

int
Commands::Adopt()
{
  const auto statuses = Statuses();
  const auto found = Read(std::string(state::kEpochKey));
  if (!statuses || !found) {
    return Fail(statuses ? found.error() : statuses.error());
  }
  std::uint64_t highest = 0;
  for (const auto& status : *statuses) {
    highest = std::max(highest, status.at("epoch").to_number<std::uint64_t>());
  }
  if (*found) {
    const auto value = state::ParseJson((*found)->mValue, state::kEpochKey);
    const auto epoch =
      value ? state::ReadEpoch(*value) : Result<std::uint64_t>(0);
    highest = std::max(highest, epoch.value_or(0));
  }
  const auto written =
    Write(std::string(state::kEpochKey),
          json::serialize(json::object{ { "epoch", highest + 1 } }),
          *found ? (*found)->mRevision : 0);
  if (!written) {
    return Fail(written.error());
  }
  mOut << "epoch " << highest + 1 << ": what the platform holds now comes into "
       << "force everywhere\n";
  return Code(ExitCode::kDone);
}

int
Commands::Drain()
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/drain";
  const auto answer = Ask(std::move(request));
  if (!answer) {
    return Fail(answer.error());
  }
  mOut << answer->mBody;
  return Code(answer->mStatus == 202 ? ExitCode::kDone : ExitCode::kBadInput);
}

int
Commands::Explain()
{
  const auto body = ReadFile(mOptions.mFile);
  if (!body) {
    return Fail(body.error());
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/explain?team=" + mOptions.mTeam;
  request.mContentType = "application/json";
  request.mBody = *body;
  const auto answer = Ask(std::move(request));
  if (!answer) {
    return Fail(answer.error());
  }
  if (answer->mStatus != 200) {
    mErr << "shuntctl: " << answer->mBody;
    return Code(ExitCode::kBadInput);
  }
  const auto value = state::ParseJson(answer->mBody, "answer");
  std::vector<Row> rows;
  for (const auto& item : value->as_object().at("endpoints").as_array()) {
    const auto& row = item.as_object();
    const bool isCandidate = row.at("candidate").as_bool();
    std::string why = "outside the prompt's group";
    if (row.at("chosen").as_bool()) {
      why = "chosen: the lowest cost";
    } else if (isCandidate) {
      why = row.at("replied").as_bool() ? "asked: costs more"
                                        : "asked: no answer, or not accepting";
    }
    rows.push_back({ Shown(row.at("endpoint")),
                     Shown(row.at("zone")),
                     Shown(row.at("health")),
                     isCandidate ? Shown(row.at("cachedBlocks")) : "-",
                     isCandidate ? Shown(row.at("waitMicros")) : "-",
                     isCandidate ? Shown(row.at("costMicros")) : "-",
                     why });
  }
  Print({ "endpoint",
          "zone",
          "health",
          "cached blocks",
          "wait us",
          "cost us",
          "why" },
        rows);
  return Code(ExitCode::kDone);
}

Result<std::vector<std::string>>
Commands::NotInForce(std::uint64_t aRevision)
{
  const auto live =
    transport::RunTask(mContext, mPlatform.Instances(0, Millis(0)));
  const auto statuses = Statuses();
  if (!live || !statuses) {
    return tl::unexpected(live ? statuses.error() : live.error());
  }
  std::vector<std::string> late;
  for (const auto& instance : live->mInstances) {
    const auto said =
      std::find_if(statuses->begin(), statuses->end(), [&](const auto& aOne) {
        return Shown(aOne.at("name")) == instance.mName;
      });
    const bool isInForce =
      said != statuses->end() &&
      said->at("version").template to_number<std::uint64_t>() >= aRevision;
    if (!instance.mIsLeaving && !isInForce) {
      late.push_back(instance.mName);
    }
  }
  return late;
}

int
Commands::AwaitInForce(std::uint64_t aRevision)
{
  const auto until = state::BootClock::now() + Millis(mOptions.mWaitMs);
  auto late = NotInForce(aRevision);
  while (late && !late->empty() && state::BootClock::now() < until) {
    std::this_thread::sleep_for(kInForcePoll);
    late = NotInForce(aRevision);
  }
  if (!late) {
    return Fail(late.error());
  }
  if (late->empty()) {
    mOut << "in force on every live process\n";
    return Code(ExitCode::kDone);
  }
  mErr << "shuntctl: not yet said to be in force on:";
  for (const auto& name : *late) {
    mErr << " " << name;
  }
  mErr << "\n";
  return Code(ExitCode::kNotInForce);
}

} // namespace shuntjunction::ctl
