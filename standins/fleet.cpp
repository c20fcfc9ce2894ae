#include "fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/json_reader.h"
#include "shuntjunction/state/settings.h"
#include "shuntjunction/transport/http_client.h"
#include "shuntjunction/transport/run_task.h"

namespace shuntjunction::standins {

namespace json = boost::json;
using state::Millis;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr std::size_t kMaxResponseBytes = 64UL * 1024 * 1024;
constexpr Millis kPollInterval{ 20 };
constexpr int kMaxPolls = 1500;
constexpr std::string_view kPlatformName = "platform";
constexpr std::string_view kAnyPort = "127.0.0.1:0";

[[noreturn]] void
Abort(const std::string& aText)
{
  KillChildrenAndAbort("fleet: " + aText);
}

json::object
ParseObject(const std::string& aText)
{
  auto value = state::ParseJson(aText, "settings");
  if (!value || !value->is_object()) {
    Abort("not a JSON object: " + aText);
  }
  return value->as_object();
}

std::string
StringField(const json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->as_string())
           : std::string();
}

} // namespace

std::string
KeyDigest(const std::string& aKey)
{
  return state::Sha256Hex(aKey);
}

Fleet::Fleet(const FleetSettings& aSettings)
  : mSettings(aSettings)
{
  std::filesystem::create_directories(mSettings.mFolder);
}

Fleet::~Fleet() = default;

FleetProcess
Fleet::Spawn(const std::string& aName, const std::vector<std::string>& aCommand)
{
  FleetProcess process;
  process.mLog = mSettings.mFolder + "/" + aName + ".log";
  process.mChild = std::make_shared<ChildProcess>(
    ChildCommand{ aCommand, {}, process.mLog, {} });
  const auto line = state::ParseJson(process.mChild->FirstLine(), aName);
  if (!line || !line->is_object()) {
    Abort(aName + " did not start; see " + process.mLog);
  }
  process.mTraffic = StringField(line->as_object(), "traffic");
  process.mAdmin = StringField(line->as_object(), "admin");
  process.mSecondary = StringField(line->as_object(), "far");
  mProcesses[aName] = process;
  return process;
}

std::string
Fleet::WriteSettings(const std::string& aName,
                     const json::object& aSettings) const
{
  std::string file = mSettings.mFolder + "/" + aName + ".json";
  std::ofstream(file) << json::serialize(aSettings);
  return file;
}

json::object
Fleet::CommonSettings(const std::string& aName,
                      const std::string& aRole,
                      const std::string& aZone) const
{
  json::object settings = ParseObject(mSettings.mProcessExtra);
  settings["name"] = aName;
  settings["role"] = aRole;
  settings["zone"] = aZone;
  const bool isPartitionable = aZone == mSettings.mPartitionableZone;
  settings["platform"] = isPartitionable
                           ? Process(std::string(kPlatformName)).mSecondary
                           : Platform();
  settings["secret"] = mSettings.mSecret;
  json::array peers;
  for (const auto& address : mCompanions) {
    peers.emplace_back(address);
  }
  settings["peers"] = std::move(peers);
  return settings;
}

const std::string&
Fleet::Platform() const
{
  return Process(std::string(kPlatformName)).mTraffic;
}

void
Fleet::StartPlatform()
{
  Spawn(std::string(kPlatformName),
        { mSettings.mBinaries + "/standins/shuntstandin", "platform" });
}

void
Fleet::StartEngine(const std::string& aName,
                   const std::vector<std::string>& aOptions)
{
  std::vector<std::string> command{ mSettings.mBinaries +
                                      "/standins/shuntstandin",
                                    "engine",
                                    "--weight-store",
                                    Platform() };
  command.insert(command.end(), aOptions.begin(), aOptions.end());
  // A restarted engine keeps its address, as it would on a real instance.
  const auto before = mAddresses.find(aName);
  if (before != mAddresses.end()) {
    command.insert(command.begin() + 1, { "--listen", before->second });
  }
  Spawn(aName, command);
}

void
Fleet::StartService(const std::string& aName, std::int64_t aDelayMs)
{
  Spawn(aName,
        { mSettings.mBinaries + "/standins/shuntstandin",
          "service",
          "--delay-ms",
          std::to_string(aDelayMs) });
}

void
Fleet::StartCompanion(const std::string& aName,
                      const std::string& aBackend,
                      const std::string& aZone,
                      bool aIsEngine)
{
  json::object settings = CommonSettings(aName, "companion", aZone);
  json::object companion = ParseObject(mSettings.mCompanionExtra);
  companion["listen"] = kAnyPort;
  companion["backend"] = Process(aBackend).mTraffic;
  companion["backendKind"] = aIsEngine ? "engine" : "service";
  settings["companion"] = std::move(companion);
  Spawn(aName,
        { mSettings.mBinaries + "/apps/shuntjunctiond",
          "--settings",
          WriteSettings(aName, settings) });
  mCompanions.push_back(Process(aName).mTraffic);
  Register(aName, "companion", aZone, false);
}

void
Fleet::Rename(const std::string& aName, const std::string& aNewName)
{
  auto entry = mProcesses.extract(aName);
  entry.key() = aNewName;
  mProcesses.insert(std::move(entry));
}

void
Fleet::StartRouter(const std::string& aName, const std::string& aZone)
{
  SpawnRouter(aName, aZone);
  Register(aName, "router", aZone, false);
}

void
Fleet::RestartRouter(const std::string& aName, const std::string& aZone)
{
  Kill(aName);
  SpawnRouter(aName, aZone);
}

void
Fleet::SpawnRouter(const std::string& aName, const std::string& aZone)
{
  json::object settings = CommonSettings(aName, "router", aZone);
  json::object router = ParseObject(mSettings.mRouterExtra);
  router["listen"] = kAnyPort;
  settings["router"] = std::move(router);
  Spawn(aName,
        { mSettings.mBinaries + "/apps/shuntjunctiond",
          "--settings",
          WriteSettings(aName, settings) });
}

void
Fleet::Signal(const std::string& aName, int aSignal)
{
  Process(aName).mChild->Signal(aSignal);
}

int
Fleet::WaitForExit(const std::string& aName)
{
  const int exit = Process(aName).mChild->WaitForExit();
  mProcesses.erase(aName);
  return exit;
}

void
Fleet::Kill(const std::string& aName)
{
  const FleetProcess process = Process(aName);
  mAddresses[aName] = process.mTraffic;
  process.mChild->Signal(SIGKILL);
  WaitForExit(aName);
}

bool
Fleet::IsRunning(const std::string& aName)
{
  const auto found = mProcesses.find(aName);
  return found != mProcesses.end() && !found->second.mChild->HasExited();
}

const FleetProcess&
Fleet::Process(const std::string& aName) const
{
  const auto found = mProcesses.find(aName);
  if (found == mProcesses.end()) {
    Abort("no process is named " + aName);
  }
  return found->second;
}

state::Result<HttpResponse>
Fleet::Call(const std::string& aAddress,
            const HttpRequest& aRequest,
            std::int64_t aTimeoutMs)
{
  const auto address = state::ParseAddress(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  boost::asio::io_context context(1);
  transport::HttpClient client(*address, kMaxResponseBytes);
  return transport::RunTask(context, client.Send(aRequest, Millis(aTimeoutMs)));
}

void
Fleet::PutToPlatform(const std::string& aTarget,
                     const std::string& aBody,
                     const std::string& aMethod)
{
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mContentType = "application/json";
  request.mBody = aBody;
  const auto answer = Call(Platform(), request);
  if (!answer || answer->mStatus != 200) {
    Abort("the platform refused " + aTarget + ": " +
          (answer ? answer->mBody : answer.error().Describe()));
  }
}

void
Fleet::Register(const std::string& aName,
                const std::string& aRole,
                const std::string& aZone,
                bool aIsLeaving)
{
  PutToPlatform(
    "/v1/instances/" + aName,
    json::serialize(json::object{ { "name", aName },
                                  { "address", Process(aName).mTraffic },
                                  { "zone", aZone },
                                  { "role", aRole },
                                  { "leaving", aIsLeaving } }));
}

void
Fleet::Deregister(const std::string& aName)
{
  PutToPlatform("/v1/instances/" + aName, "", "DELETE");
}

void
Fleet::Apply(const std::string& aKey, const std::string& aValue)
{
  HttpRequest read;
  read.mTarget = "/v1/objects/" + aKey;
  const auto found = Call(Platform(), read);
  std::uint64_t revision = 0;
  if (found && found->mStatus == 200) {
    const auto value = state::ParseJson(found->mBody, aKey);
    revision = value->as_object().at("revision").to_number<std::uint64_t>();
  }
  PutToPlatform(
    "/v1/objects/" + aKey + "?if_revision=" + std::to_string(revision), aValue);
}

void
Fleet::SetFaults(const std::string& aFaults)
{
  PutToPlatform("/faults", aFaults, "POST");
}

void
Fleet::AwaitReady(const std::string& aName)
{
  HttpRequest request;
  request.mTarget = "/readyz";
  for (int i = 0; i < kMaxPolls; ++i) {
    const auto answer = Call(Process(aName).mAdmin, request);
    if (answer && answer->mStatus == 200) {
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  Abort(aName + " did not become ready; see " + Process(aName).mLog);
}

void
Fleet::AwaitEngines(const std::string& aModel, std::size_t aCount)
{
  HttpRequest request;
  request.mTarget = "/engine/state";
  for (int i = 0; i < kMaxPolls; ++i) {
    std::size_t serving = 0;
    for (const auto& [name, process] : mProcesses) {
      const auto answer = process.mAdmin.empty()
                            ? Call(process.mTraffic, request)
                            : state::Result<HttpResponse>(HttpResponse{});
      const auto value =
        state::ParseJson(answer ? answer->mBody : "null", name);
      const auto* found = value ? value->if_object() : nullptr;
      if (found != nullptr && StringField(*found, "model") == aModel) {
        ++serving;
      }
    }
    if (serving >= aCount) {
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  Abort("too few engines loaded " + aModel);
}

double
Fleet::Metric(const std::string& aName, const std::string& aMetric) const
{
  HttpRequest request;
  request.mTarget = "/metrics";
  const auto answer = Call(Process(aName).mAdmin, request);
  std::istringstream lines(answer ? answer->mBody : "");
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    const std::size_t end = line.find_first_of("{ ");
    if (line.substr(0, end) == aMetric) {
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

std::pair<std::int64_t, double>
Fleet::Usage(const std::string& aName) const
{
  const std::string folder =
    "/proc/" + std::to_string(Process(aName).mChild->Pid()) + "/";
  std::int64_t peak = 0;
  std::ifstream status(folder + "status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      peak = std::stoll(line.substr(line.find_first_of("0123456789")));
    }
  }
  std::ifstream stat(folder + "stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    rest >> skipped;
  }
  double user = 0;
  double system = 0;
  rest >> user >> system;
  return { peak, (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)) };
}

} // namespace shuntjunction::standins
