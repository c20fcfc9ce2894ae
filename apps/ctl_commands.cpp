#include "ctl_commands.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "ctl_text.h"
#include "shuntjunction/coordination/http_platform.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/run_task.h"

namespace shuntjunction::ctl {

namespace json = boost::json;
using state::ErrorCode;
using state::RawObject;
using state::Result;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

} // namespace

Commands::Commands(const Options& aOptions,
                   std::ostream& aOut,
                   std::ostream& aErr)
  : mOptions(aOptions)
  , mOut(aOut)
  , mErr(aErr)
  , mPlatform(
      state::ParseAddress(mOptions.mPlatform).value_or(state::Address{}),
      kTimeout)
{
}

// Calls.

Result<std::optional<RawObject>>
Commands::Read(const std::string& aKey)
{
  return transport::RunTask(mContext, mPlatform.Read(aKey));
}

Result<coordination::ObjectList>
Commands::List(std::string aPrefix)
{
  return transport::RunTask(mContext, mPlatform.List(std::move(aPrefix)));
}

Result<std::uint64_t>
Commands::Write(const std::string& aKey,
                const std::string& aValue,
                std::uint64_t aIfRevision)
{
  auto written =
    transport::RunTask(mContext, mPlatform.Write(aKey, aValue, aIfRevision));
  if (written || written.error().mCode != ErrorCode::kTimeout) {
    return written;
  }
  // The answer was lost: what stands there now tells whether it took effect.
  const auto found = transport::RunTask(mContext, mPlatform.Read(aKey));
  if (found && *found && (*found)->mValue == aValue &&
      (*found)->mRevision != aIfRevision) {
    return (*found)->mRevision;
  }
  return written;
}

Result<HttpResponse>
Commands::Ask(HttpRequest aRequest)
{
  transport::HttpClient client(
    state::ParseAddress(mOptions.mAdmin).value_or(state::Address{}),
    kMaxAnswerBytes);
  aRequest.mFields.push_back({ "authorization", "Bearer " + mOptions.mSecret });
  return transport::RunTask(mContext,
                            client.Send(std::move(aRequest), kTimeout));
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
  const auto deleted =
    transport::RunTask(mContext, mPlatform.Delete(key, expected));
  if (!deleted) {
    return deleted.error().mCode == ErrorCode::kConflict
             ? Conflict(key, expected)
             : Fail(deleted.error());
  }
  mOut << mOptions.mName << " deleted\n";
  return Code(ExitCode::kDone);
}

} // namespace shuntjunction::ctl
