#include "ctl_commands.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "ctl_text.h"
#include "shuntjunction/coordination/http_platform.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/printable_text.h"
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
      kCallTimeout)
{
}

// Calls to the platform and to processes.

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
  // The response was lost. The stored object shows whether the write took
  // effect.
  const auto stored = transport::RunTask(mContext, mPlatform.Read(aKey));
  if (stored && *stored && (*stored)->mValue == aValue &&
      (*stored)->mRevision != aIfRevision) {
    return (*stored)->mRevision;
  }
  return written;
}

Result<HttpResponse>
Commands::SendAdminRequest(HttpRequest aRequest)
{
  transport::HttpClient client(
    state::ParseAddress(mOptions.mAdmin).value_or(state::Address{}),
    kMaxResponseBytes);
  aRequest.mFields.push_back({ "authorization", "Bearer " + mOptions.mSecret });
  return transport::RunTask(mContext,
                            client.Send(std::move(aRequest), kCallTimeout));
}

// Output.

int
Commands::ReportError(const state::Error& aError)
{
  mErr << "shuntctl: " << aError.Describe() << "\n";
  switch (aError.mCode) {
    case ErrorCode::kInvalidArgument:
      return ToExitStatus(ExitCode::kBadInput);
    case ErrorCode::kConflict:
      return ToExitStatus(ExitCode::kConflict);
    case ErrorCode::kNotFound:
      return ToExitStatus(ExitCode::kNotFound);
    default:
      return ToExitStatus(ExitCode::kNoAnswer);
  }
}

int
Commands::ReportConflict(const std::string& aKey, std::uint64_t aExpected)
{
  const auto stored = Read(aKey);
  mErr << "shuntctl: conflict at " << ShortKey(aKey) << ": expected revision "
       << aExpected << ", the platform holds ";
  if (stored && *stored) {
    mErr << "revision " << (*stored)->mRevision << ": " << (*stored)->mValue;
  } else {
    mErr << "no such object";
  }
  mErr << "\nshuntctl: another operator changed it first; run 'shuntctl diff', "
          "then apply again.\n";
  return ToExitStatus(ExitCode::kConflict);
}

void
Commands::PrintTable(const Row& aHeader, const std::vector<Row>& aRows)
{
  if (IsJson()) {
    json::array list;
    for (const auto& row : aRows) {
      json::object object;
      for (std::size_t i = 0; i < aHeader.size(); ++i) {
        object[aHeader[i]] = row[i];
      }
      list.push_back(std::move(object));
    }
    mOut << json::serialize(list) << "\n";
    return;
  }
  auto rows = aRows;
  for (auto& row : rows) {
    std::transform(row.begin(), row.end(), row.begin(), state::PrintableText);
  }
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < aHeader.size(); ++i) {
    std::size_t width = aHeader[i].size();
    for (const auto& row : rows) {
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
  print(aHeader);
  for (const auto& row : rows) {
    print(row);
  }
}

// Commands on objects.

Result<std::vector<Commands::DeclaredObject>>
Commands::ReadDeclaredObjects() const
{
  const auto text = ReadTextFile(mOptions.mFile);
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
                       mOptions.mFile +
                         " must be a JSON object {\"KIND/NAME\": {...}}");
  }
  std::vector<DeclaredObject> declared;
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
Commands::ApplyObject(const DeclaredObject& aDeclared,
                      std::uint64_t& aMaxRevision)
{
  const auto stored = Read(aDeclared.mKey);
  if (!stored) {
    return ReportError(stored.error());
  }
  const bool isSame =
    *stored && CanonicalJson((*stored)->mValue) == aDeclared.mValue;
  if (isSame && !mOptions.mIfRevision) {
    aMaxRevision = std::max(aMaxRevision, (*stored)->mRevision);
    mOut << ShortKey(aDeclared.mKey) << " unchanged, revision "
         << (*stored)->mRevision << "\n";
    return ToExitStatus(ExitCode::kDone);
  }
  const std::uint64_t expected =
    mOptions.mIfRevision.value_or(*stored ? (*stored)->mRevision : 0);
  const auto written = Write(aDeclared.mKey, aDeclared.mValue, expected);
  if (!written) {
    return written.error().mCode == ErrorCode::kConflict
             ? ReportConflict(aDeclared.mKey, expected)
             : ReportError(written.error());
  }
  aMaxRevision = std::max(aMaxRevision, *written);
  mOut << ShortKey(aDeclared.mKey) << " applied, revision " << *written << "\n";
  return ToExitStatus(ExitCode::kDone);
}

int
Commands::Apply()
{
  const auto declared = ReadDeclaredObjects();
  if (!declared) {
    return ReportError(declared.error());
  }
  if (mOptions.mIfRevision && declared->size() != 1) {
    mErr
      << "shuntctl: --if-revision requires a file with exactly one object.\n";
    return ToExitStatus(ExitCode::kBadInput);
  }
  std::uint64_t maxRevision = 0;
  for (const auto& object : *declared) {
    const int code = ApplyObject(object, maxRevision);
    if (code != ToExitStatus(ExitCode::kDone)) {
      return code;
    }
  }
  return mOptions.mWaitMs > 0 ? AwaitActivation(maxRevision)
                              : ToExitStatus(ExitCode::kDone);
}

int
Commands::Get()
{
  const auto list =
    List(mOptions.mName.empty() ? std::string(state::kConfigPrefix)
                                : FullKey(mOptions.mName));
  if (!list) {
    return ReportError(list.error());
  }
  std::vector<Row> rows;
  for (const auto& object : list->mObjects) {
    rows.push_back({ ShortKey(object.mKey),
                     std::to_string(object.mRevision),
                     object.mValue });
  }
  if (rows.empty() && !mOptions.mName.empty()) {
    mErr << "shuntctl: no object named " << mOptions.mName << "\n";
    return ToExitStatus(ExitCode::kNotFound);
  }
  PrintTable({ "name", "revision", "value" }, rows);
  return ToExitStatus(ExitCode::kDone);
}

int
Commands::Diff()
{
  const auto declared = ReadDeclaredObjects();
  if (!declared) {
    return ReportError(declared.error());
  }
  std::vector<Row> rows;
  for (const auto& object : *declared) {
    const auto stored = Read(object.mKey);
    if (!stored) {
      return ReportError(stored.error());
    }
    const std::string before = *stored ? CanonicalJson((*stored)->mValue) : "";
    if (before != object.mValue) {
      rows.push_back({ ShortKey(object.mKey),
                       *stored ? std::to_string((*stored)->mRevision) : "-",
                       before.empty() ? "-" : before,
                       object.mValue });
    }
  }
  PrintTable({ "name", "revision", "in the platform", "in the file" }, rows);
  return ToExitStatus(ExitCode::kDone);
}

int
Commands::Delete()
{
  const std::string key = FullKey(mOptions.mName);
  const auto stored = Read(key);
  if (!stored) {
    return ReportError(stored.error());
  }
  if (!*stored) {
    mErr << "shuntctl: no object named " << mOptions.mName << "\n";
    return ToExitStatus(ExitCode::kNotFound);
  }
  const std::uint64_t expected =
    mOptions.mIfRevision.value_or((*stored)->mRevision);
  const auto deleted =
    transport::RunTask(mContext, mPlatform.Delete(key, expected));
  if (!deleted) {
    return deleted.error().mCode == ErrorCode::kConflict
             ? ReportConflict(key, expected)
             : ReportError(deleted.error());
  }
  mOut << mOptions.mName << " deleted\n";
  return ToExitStatus(ExitCode::kDone);
}

} // namespace shuntjunction::ctl
