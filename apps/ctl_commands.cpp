#include "ctl_commands.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <thread>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/coordination/http_platform.h"
#include "shuntjunction/coordination/status_writer.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/http_client.h"

namespace shuntjunction::ctl {

namespace json = boost::json;
using state::ErrorCode;
using state::Millis;
using state::RawObject;
using state::Result;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Task;

namespace {

constexpr Millis kTimeout{ 5000 };
constexpr Millis kWatchWait{ 20000 };
constexpr Millis kInForcePoll{ 200 };
constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;

int
Code(ExitCode aCode)
{
  return static_cast<int>(aCode);
}

std::string
FullKey(const std::string& aName)
{
  const std::string prefix(state::kConfigPrefix);
  return aName.starts_with(prefix) ? aName : prefix + aName;
}

std::string
ShortKey(const std::string& aKey)
{
  return aKey.substr(state::kConfigPrefix.size());
}

/// One spelling for equal values, so that a diff shows only real changes.
std::string
Canonical(const std::string& aText)
{
  const auto value = state::ParseJson(aText, "value");
  return value ? json::serialize(*value) : aText;
}

std::string
Shown(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.as_string())
                            : json::serialize(aValue);
}

Result<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return state::Fail(ErrorCode::kInvalidArgument,
                       "file.read",
                       "",
                       "the file " + aFile + " cannot be opened");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace

Commands::Commands(const Options& aOptions,
                   std::ostream& aOut,
                   std::ostream& aErr)
  : mOptions(aOptions)
  , mOut(aOut)
  , mErr(aErr)
{
}

// Calls, each on a context of its own.

template<typename T>
T
Commands::Run(Task<T> aTask) const
{
  boost::asio::io_context context(1);
  std::optional<T> outcome;
  const auto run = [](Task<T> aInner,
                      std::optional<T>* aOutcome) -> Task<void> {
    *aOutcome = co_await std::move(aInner);
  };
  transport::Spawn(context, run(std::move(aTask), &outcome));
  context.run();
  return std::move(*outcome);
}

Result<std::optional<RawObject>>
Commands::Read(const std::string& aKey) const
{
  coordination::HttpPlatform platform(
    state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
    kTimeout);
  return Run(platform.Read(aKey));
}

Result<coordination::ObjectList>
Commands::List(std::string aPrefix) const
{
  coordination::HttpPlatform platform(
    state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
    kTimeout);
  return Run(platform.List(std::move(aPrefix)));
}

Result<std::uint64_t>
Commands::Write(const std::string& aKey,
                const std::string& aValue,
                std::uint64_t aIfRevision) const
{
  coordination::HttpPlatform platform(
    state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
    kTimeout);
  auto written = Run(platform.Write(aKey, aValue, aIfRevision));
  if (written || written.error().mCode != ErrorCode::kTimeout) {
    return written;
  }
  // The answer was lost: what stands there now tells whether it took effect.
  const auto found = Run(platform.Read(aKey));
  if (found && *found && (*found)->mValue == aValue &&
      (*found)->mRevision != aIfRevision) {
    return (*found)->mRevision;
  }
  return written;
}

Result<HttpResponse>
Commands::Ask(HttpRequest aRequest) const
{
  transport::HttpClient client(
    state::ParseAddress(mOptions.mAdmin).value_or(state::Address{}),
    kMaxAnswerBytes);
  aRequest.mFields.push_back({ "authorization", "Bearer " + mOptions.mSecret });
  return Run(client.Send(std::move(aRequest), kTimeout));
}

// What is shown.

int
Commands::Fail(const state::Error& aError)
{
  mErr << "shuntctl: " << aError.Describe() << "\n";
  switch (aError.mCode) {
    case ErrorCode::kInvalidArgument:
      return Code(ExitCode::kBadInput);
    case ErrorCode::kConflict:
      return Code(ExitCode::kConflict);
    case ErrorCode::kNotFound:
      return Code(ExitCode::kNotFound);
    default:
      return Code(ExitCode::kNoAnswer);
  }
}

int
Commands::Conflict(const std::string& aKey, std::uint64_t aExpected)
{
  const auto found = Read(aKey);
  mErr << "shuntctl: conflict at " << ShortKey(aKey)
       << ": you build on revision " << aExpected << ", the platform holds ";
  if (found && *found) {
    mErr << "revision " << (*found)->mRevision << ": " << (*found)->mValue;
  } else {
    mErr << "no such object";
  }
  mErr << "\nshuntctl: another operator was faster; look with 'shuntctl diff' "
          "and apply again.\n";
  return Code(ExitCode::kConflict);
}

void
Commands::Print(const Row& aHead, const std::vector<Row>& aRows)
{
  if (IsJson()) {
    json::array list;
    for (const auto& row : aRows) {
      json::object object;
      for (std::size_t i = 0; i < aHead.size(); ++i) {
        object[aHead[i]] = row[i];
      }
      list.push_back(std::move(object));
    }
    mOut << json::serialize(list) << "\n";
    return;
  }
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < aHead.size(); ++i) {
    std::size_t width = aHead[i].size();
    for (const auto& row : aRows) {
      width = std::max(width, row[i].size());
    }
    widths.push_back(width);
  }
  const auto print = [&](const Row& aRow) {
    for (std::size_t i = 0; i < aRow.size(); ++i) {
      const bool isLast = i + 1 == aRow.size();
      mOut << std::left
           << std::setw(isLast ? 0 : static_cast<int>(widths[i]) + 2)
           << aRow[i];
    }
    mOut << "\n";
  };
  print(aHead);
  for (const auto& row : aRows) {
    print(row);
  }
}

// Objects.

Result<std::vector<Commands::Declared>>
Commands::ReadDeclared() const
{
  const auto text = ReadFile(mOptions.mFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  const auto value = state::ParseJson(*text, mOptions.mFile);
  if (!value) {
    return tl::unexpected(value.error());
  }
  const auto* file = value->if_object();
  if (file == nullptr || file->empty()) {
    return state::Fail(ErrorCode::kInvalidArgument,
                       "file.read",
                       "",
                       mOptions.mFile + " must hold {\"KIND/NAME\": {...}}");
  }
  std::vector<Declared> declared;
  for (const auto& item : *file) {
    const std::string key = FullKey(std::string(item.key()));
    const auto checked = state::CheckConfigObject(key, item.value());
    if (!checked) {
      return tl::unexpected(checked.error());
    }
    declared.push_back({ key, json::serialize(item.value()) });
  }
  return declared;
}

int
Commands::ApplyOne(const Declared& aDeclared, std::uint64_t& aHighest)
{
  const auto found = Read(aDeclared.mKey);
  if (!found) {
    return Fail(found.error());
  }
  const bool isSame = *found && Canonical((*found)->mValue) == aDeclared.mValue;
  if (isSame && !mOptions.mIfRevision) {
    aHighest = std::max(aHighest, (*found)->mRevision);
    mOut << ShortKey(aDeclared.mKey) << " unchanged, revision "
         << (*found)->mRevision << "\n";
    return Code(ExitCode::kDone);
  }
  const std::uint64_t expected =
    mOptions.mIfRevision.value_or(*found ? (*found)->mRevision : 0);
  const auto written = Write(aDeclared.mKey, aDeclared.mValue, expected);
  if (!written) {
    return written.error().mCode == ErrorCode::kConflict
             ? Conflict(aDeclared.mKey, expected)
             : Fail(written.error());
  }
  aHighest = std::max(aHighest, *written);
  mOut << ShortKey(aDeclared.mKey) << " applied, revision " << *written << "\n";
  return Code(ExitCode::kDone);
}

int
Commands::Apply()
{
  const auto declared = ReadDeclared();
  if (!declared) {
    return Fail(declared.error());
  }
  if (mOptions.mIfRevision && declared->size() != 1) {
    mErr << "shuntctl: --if-revision goes with a file of one object.\n";
    return Code(ExitCode::kBadInput);
  }
  std::uint64_t highest = 0;
  for (const auto& one : *declared) {
    const int code = ApplyOne(one, highest);
    if (code != Code(ExitCode::kDone)) {
      return code;
    }
  }
  return mOptions.mWaitMs > 0 ? AwaitInForce(highest) : Code(ExitCode::kDone);
}

Result<std::vector<std::string>>
Commands::NotInForce(std::uint64_t aRevision) const
{
  coordination::HttpPlatform platform(
    state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
    kTimeout);
  const auto live = Run(platform.Instances(0, Millis(0)));
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
  const auto until =
    std::chrono::steady_clock::now() + Millis(mOptions.mWaitMs);
  auto late = NotInForce(aRevision);
  while (late && !late->empty() && std::chrono::steady_clock::now() < until) {
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

int
Commands::Get()
{
  const auto list =
    List(mOptions.mName.empty() ? std::string(state::kConfigPrefix)
                                : FullKey(mOptions.mName));
  if (!list) {
    return Fail(list.error());
  }
  std::vector<Row> rows;
  for (const auto& object : list->mObjects) {
    rows.push_back({ ShortKey(object.mKey),
                     std::to_string(object.mRevision),
                     object.mValue });
  }
  if (rows.empty() && !mOptions.mName.empty()) {
    mErr << "shuntctl: nothing is named " << mOptions.mName << "\n";
    return Code(ExitCode::kNotFound);
  }
  Print({ "name", "revision", "value" }, rows);
  return Code(ExitCode::kDone);
}

int
Commands::Diff()
{
  const auto declared = ReadDeclared();
  if (!declared) {
    return Fail(declared.error());
  }
  std::vector<Row> rows;
  for (const auto& one : *declared) {
    const auto found = Read(one.mKey);
    if (!found) {
      return Fail(found.error());
    }
    const std::string before = *found ? Canonical((*found)->mValue) : "";
    if (before != one.mValue) {
      rows.push_back({ ShortKey(one.mKey),
                       *found ? std::to_string((*found)->mRevision) : "-",
                       before.empty() ? "-" : before,
                       one.mValue });
    }
  }
  Print({ "name", "revision", "in the platform", "in the file" }, rows);
  return Code(ExitCode::kDone);
}

int
Commands::Delete()
{
  const std::string key = FullKey(mOptions.mName);
  const auto found = Read(key);
  if (!found) {
    return Fail(found.error());
  }
  if (!*found) {
    mErr << "shuntctl: nothing is named " << mOptions.mName << "\n";
    return Code(ExitCode::kNotFound);
  }
  const std::uint64_t expected =
    mOptions.mIfRevision.value_or((*found)->mRevision);
  coordination::HttpPlatform platform(
    state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
    kTimeout);
  const auto deleted = Run(platform.Delete(key, expected));
  if (!deleted) {
    return deleted.error().mCode == ErrorCode::kConflict
             ? Conflict(key, expected)
             : Fail(deleted.error());
  }
  mOut << mOptions.mName << " deleted\n";
  return Code(ExitCode::kDone);
}

// Processes.

Result<std::vector<json::object>>
Commands::Statuses() const
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
  std::vector<Row> rows;
  for (const auto& status : *statuses) {
    Row row;
    for (const std::string_view key : { "name",
                                        "role",
                                        "zone",
                                        "epoch",
                                        "version",
                                        "stopping",
                                        "model",
                                        "weights",
                                        "admin",
                                        "quarantined" }) {
      row.push_back(text(status, key));
    }
    rows.push_back(std::move(row));
  }
  Print({ "name",
          "role",
          "zone",
          "epoch",
          "version",
          "stopping",
          "model",
          "weights",
          "admin",
          "quarantined" },
        rows);
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
    coordination::HttpPlatform platform(
      state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
      kTimeout);
    const auto watch =
      Run(platform.Watch(std::string(state::kConfigPrefix), after, kWatchWait));
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

} // namespace shuntjunction::ctl
