#include "shuntjunction/state/settings.h"

#include <charconv>

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

constexpr std::int64_t kMaxMillis = 24L * 3600 * 1000;
constexpr std::int64_t kMaxCount = 1000000;
constexpr std::int64_t kMaxBytes = 1LL << 30;
constexpr std::size_t kMinSecretBytes = 16;

/// Longer than any request may take, so that no retry finds its claim deleted.
constexpr Millis kMinClaimRetention{ 2L * 3600 * 1000 };
constexpr Millis kMaxClaimRetention{ 30L * 24 * 3600 * 1000 };

Millis
ReadMillis(JsonReader& aReader, std::string_view aKey, Millis aDefault)
{
  return Millis(aReader.Integer(aKey, 1, kMaxMillis, aDefault.count()));
}

std::string
ReadAddress(JsonReader& aReader,
            std::string_view aKey,
            std::optional<std::string> aDefault)
{
  std::string text = aReader.Text(aKey, std::move(aDefault));
  if (!ParseAddress(text)) {
    aReader.AddError(aKey, "\"" + text + "\"", "IP:PORT");
  }
  return text;
}

/// Reads a nested object with a function, if it is present.
template<typename Function>
void
ReadNested(JsonReader& aReader, std::string_view aKey, Function aRead)
{
  const auto* value = aReader.Find(aKey);
  if (value == nullptr) {
    return;
  }
  JsonReader reader(*value, aReader.KeyPath(aKey));
  aRead(reader);
  aReader.Merge(reader.Finish());
}

void
ReadLimits(JsonReader& aReader, LimitSettings& aLimits)
{
  aLimits.mMaxHeaderBytes =
    aReader.Integer("maxHeaderBytes", 256, kMaxBytes, aLimits.mMaxHeaderBytes);
  aLimits.mMaxBodyBytes =
    aReader.Integer("maxBodyBytes", 1, kMaxBytes, aLimits.mMaxBodyBytes);
  aLimits.mMaxAnswerBytes =
    aReader.Integer("maxAnswerBytes", 1, kMaxBytes, aLimits.mMaxAnswerBytes);
  aLimits.mMaxConnections =
    aReader.Integer("maxConnections", 1, kMaxCount, aLimits.mMaxConnections);
  aLimits.mHeaderTimeout =
    ReadMillis(aReader, "headerTimeoutMs", aLimits.mHeaderTimeout);
  aLimits.mIdleTimeout =
    ReadMillis(aReader, "idleTimeoutMs", aLimits.mIdleTimeout);
  aLimits.mWriteTimeout =
    ReadMillis(aReader, "writeTimeoutMs", aLimits.mWriteTimeout);
  aLimits.mStreamWindow =
    aReader.Integer("streamWindow", 1, kMaxCount, aLimits.mStreamWindow);
}

void
ReadWatchers(JsonReader& aReader, WatcherSettings& aWatchers)
{
  aWatchers.mPerZone = static_cast<std::size_t>(aReader.Integer(
    "perZone", 1, kMaxCount, static_cast<std::int64_t>(aWatchers.mPerZone)));
  aWatchers.mAllBelow = static_cast<std::size_t>(aReader.Integer(
    "allBelow", 0, kMaxCount, static_cast<std::int64_t>(aWatchers.mAllBelow)));
  aWatchers.mQueryInterval =
    ReadMillis(aReader, "askIntervalMs", aWatchers.mQueryInterval);
}

void
ReadChooser(JsonReader& aReader, ChooserSettings& aChooser)
{
  aChooser.mPolicy =
    aReader.Name("policy", kChoicePolicyNames, std::optional(aChooser.mPolicy));
  aChooser.mProbes = static_cast<std::size_t>(aReader.Integer(
    "probes", 1, kMaxCandidates, static_cast<std::int64_t>(aChooser.mProbes)));
  aChooser.mMinWidth = static_cast<std::size_t>(aReader.Integer(
    "minWidth", 1, kMaxCount, static_cast<std::int64_t>(aChooser.mMinWidth)));
  aChooser.mTargetLoad =
    aReader.Number("targetLoad", 0.01, 1.0, aChooser.mTargetLoad);
  aChooser.mMinBlocks = static_cast<std::uint32_t>(
    aReader.Integer("minBlocks", 0, kMaxCount, aChooser.mMinBlocks));
  aChooser.mZoneCostMicros =
    aReader.Integer("zoneCostMicros", 0, kMaxCount, aChooser.mZoneCostMicros);
}

void
ReadRouter(JsonReader& aReader, RouterSettings& aRouter)
{
  aRouter.mListen = ReadAddress(aReader, "listen", aRouter.mListen);
  ReadNested(aReader, "chooser", [&](JsonReader& aNested) {
    ReadChooser(aNested, aRouter.mChooser);
  });
  auto& health = aRouter.mEndpoints.mHealth;
  aRouter.mEndpoints.mMaxEjectedShare = aReader.Number(
    "maxEjectedShare", 0.0, 1.0, aRouter.mEndpoints.mMaxEjectedShare);
  health.mFailuresToEject = static_cast<int>(
    aReader.Integer("failuresToEject", 1, 1000, health.mFailuresToEject));
  health.mFirstEjection =
    ReadMillis(aReader, "firstEjectionMs", health.mFirstEjection);
  health.mMaxEjection =
    ReadMillis(aReader, "maxEjectionMs", health.mMaxEjection);
  aRouter.mRetry.mRatio =
    aReader.Number("retryRatio", 0.0, 1.0, aRouter.mRetry.mRatio);
  aRouter.mMaxAttempts =
    aReader.Integer("maxAttempts", 1, 16, aRouter.mMaxAttempts);
  aRouter.mDefaultDeadline =
    ReadMillis(aReader, "defaultDeadlineMs", aRouter.mDefaultDeadline);
  aRouter.mProbeTimeout =
    ReadMillis(aReader, "probeTimeoutMs", aRouter.mProbeTimeout);
  aRouter.mConnectTimeout =
    ReadMillis(aReader, "connectTimeoutMs", aRouter.mConnectTimeout);
  aRouter.mTokenTimeout =
    ReadMillis(aReader, "tokenTimeoutMs", aRouter.mTokenTimeout);
  aRouter.mIdlePeerTimeout =
    ReadMillis(aReader, "idlePeerTimeoutMs", aRouter.mIdlePeerTimeout);
}

void
ReadCompanion(JsonReader& aReader, CompanionSettings& aCompanion)
{
  auto& admission = aCompanion.mAdmission;
  aCompanion.mListen = ReadAddress(aReader, "listen", aCompanion.mListen);
  aCompanion.mBackendKind = aReader.Name(
    "backendKind", kBackendKindNames, std::optional(aCompanion.mBackendKind));
  aCompanion.mBackend = ReadAddress(aReader, "backend", aCompanion.mBackend);
  admission.mSlots = static_cast<std::size_t>(aReader.Integer(
    "slots", 1, kMaxCount, static_cast<std::int64_t>(admission.mSlots)));
  admission.mMaxQueued = static_cast<std::size_t>(
    aReader.Integer("maxQueued",
                    0,
                    kMaxCount,
                    static_cast<std::int64_t>(admission.mMaxQueued)));
  admission.mMaxPrefixWait = Millis(aReader.Integer(
    "flightWaitMs", 0, kMaxMillis, admission.mMaxPrefixWait.count()));
  aCompanion.mMicrosPerBlock =
    aReader.Integer("microsPerBlock", 1, kMaxCount, aCompanion.mMicrosPerBlock);
  aCompanion.mBackendTimeout =
    ReadMillis(aReader, "backendTimeoutMs", aCompanion.mBackendTimeout);
  aCompanion.mClaimTimeout =
    ReadMillis(aReader, "claimTimeoutMs", aCompanion.mClaimTimeout);
  aCompanion.mClaimRetention =
    Millis(aReader.Integer("claimRetentionMs",
                           kMinClaimRetention.count(),
                           kMaxClaimRetention.count(),
                           aCompanion.mClaimRetention.count()));
  aCompanion.mPollInterval =
    ReadMillis(aReader, "pollIntervalMs", aCompanion.mPollInterval);
}

void
ReadProcess(JsonReader& aReader, Settings& aSettings)
{
  aSettings.mName = aReader.Text("name");
  aSettings.mRole = aReader.Name("role", kProcessRoleNames);
  aSettings.mZone = aReader.Text("zone");
  aSettings.mAdmin = ReadAddress(aReader, "admin", aSettings.mAdmin);
  aSettings.mPlatform = ReadAddress(aReader, "platform", std::nullopt);
  aSettings.mSecret = aReader.Text("secret");
  if (aSettings.mSecret.size() < kMinSecretBytes) {
    aReader.AddError("secret", "too short", "16 characters or more");
  }
  aSettings.mPeers = aReader.Texts("peers");
  for (const auto& peer : aSettings.mPeers) {
    if (!ParseAddress(peer)) {
      aReader.AddError("peers", "\"" + peer + "\"", "a list of IP:PORT");
    }
  }
  aSettings.mPlatformTimeout =
    ReadMillis(aReader, "platformTimeoutMs", aSettings.mPlatformTimeout);
  aSettings.mWatchTimeout =
    ReadMillis(aReader, "watchTimeoutMs", aSettings.mWatchTimeout);
  aSettings.mDrainTimeout =
    ReadMillis(aReader, "drainTimeoutMs", aSettings.mDrainTimeout);
  aSettings.mStopNotice =
    ReadMillis(aReader, "stopNoticeMs", aSettings.mStopNotice);
  aSettings.mLogFormat = aReader.Name(
    "logFormat", kLogFormatNames, std::optional(aSettings.mLogFormat));
  aSettings.mLogLevel = aReader.Name(
    "logLevel", kLogLevelNames, std::optional(aSettings.mLogLevel));
}

} // namespace

Result<Address>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return Fail(ErrorCode::kInvalidArgument,
                "address.parse",
                aText,
                "not of the form IP:PORT");
  }
  std::string_view host = aText.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Address address;
  address.mHost = host;
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  if (error != std::errc() || end != port.data() + port.size()) {
    return Fail(ErrorCode::kInvalidArgument,
                "address.parse",
                aText,
                "the port is not a number from 0 to 65535");
  }
  return address;
}

Result<Settings>
ReadSettings(std::string_view aText, std::string_view aFile)
{
  const auto value = ParseJson(aText, aFile);
  if (!value) {
    return tl::unexpected<Error>(value.error());
  }
  JsonReader reader(*value, "");
  Settings settings;
  ReadProcess(reader, settings);
  ReadNested(reader, "limits", [&](JsonReader& aNested) {
    ReadLimits(aNested, settings.mLimits);
  });
  ReadNested(reader, "watchers", [&](JsonReader& aNested) {
    ReadWatchers(aNested, settings.mWatchers);
  });
  ReadNested(reader, "router", [&](JsonReader& aNested) {
    ReadRouter(aNested, settings.mRouter);
  });
  ReadNested(reader, "companion", [&](JsonReader& aNested) {
    ReadCompanion(aNested, settings.mCompanion);
  });
  settings.mRouter.mChooser.mZone = settings.mZone;
  if (const auto done = reader.Finish(); !done) {
    Error error = done.error();
    error.mStep = "settings.read";
    error.mText = std::string(aFile) + ": " + error.mText;
    return tl::unexpected<Error>(std::move(error));
  }
  return settings;
}

} // namespace shuntjunction::state
