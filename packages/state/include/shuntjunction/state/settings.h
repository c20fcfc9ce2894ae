#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "shuntjunction/state/admission_queue.h"
#include "shuntjunction/state/endpoint_chooser.h"
#include "shuntjunction/state/retry_budget.h"
#include "shuntjunction/state/watchers.h"

/// Settings of a process, read once from its settings file.
namespace shuntjunction::state {

/// Role of a shuntjunctiond process.
enum class ProcessRole : std::uint8_t
{
  kRouter,
  kCompanion,
};

/// Names of ProcessRole.
inline constexpr EnumNames<ProcessRole, 2> kProcessRoleNames{ { "router",
                                                                "companion" } };

/// Format of log lines.
enum class LogFormat : std::uint8_t
{
  kText,
  kJson,
};

/// Names of LogFormat.
inline constexpr EnumNames<LogFormat, 2> kLogFormatNames{ { "text", "json" } };

/// Log level.
enum class LogLevel : std::uint8_t
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

/// Names of LogLevel.
inline constexpr EnumNames<LogLevel, 4> kLogLevelNames{
  { "debug", "info", "warn", "error" }
};

/// Limits on what callers and peers may send.
struct LimitSettings
{
  std::int64_t mMaxHeaderBytes = 16L * 1024;
  std::int64_t mMaxBodyBytes = 4L * 1024 * 1024;
  std::int64_t mMaxAnswerBytes = 4L * 1024 * 1024; ///< of one response
  std::int64_t mMaxConnections = 4096;             ///< from callers
  Millis mHeaderTimeout{ 10000 };   ///< for a whole request to arrive
  Millis mIdleTimeout{ 75000 };     ///< of a kept-alive connection
  Millis mWriteTimeout{ 30000 };    ///< for a caller to accept some bytes
  std::int64_t mStreamWindow = 256; ///< tokens in flight to a caller
};

/// Settings of the router role.
struct RouterSettings
{
  std::string mListen = "127.0.0.1:8080"; ///< for callers
  ChooserSettings mChooser;
  EndpointTableSettings mEndpoints;
  RetryBudgetSettings mRetry;
  std::int64_t mMaxAttempts = 4;    ///< attempts per request, with the first
  Millis mDefaultDeadline{ 30000 }; ///< to the first token
  Millis mProbeTimeout{ 25 };       ///< later replies are ignored
  Millis mConnectTimeout{ 300 };    ///< to a companion
  Millis mTokenTimeout{ 10000 };    ///< between two tokens
  Millis mIdlePeerTimeout{ 60000 }; ///< an unused companion is disconnected
};

/// Kind of backend that a companion runs next to.
enum class BackendKind : std::uint8_t
{
  kEngine,
  kService,
};

/// Names of BackendKind.
inline constexpr EnumNames<BackendKind, 2> kBackendKindNames{ { "engine",
                                                                "service" } };

/// Settings of the companion role.
struct CompanionSettings
{
  BackendKind mBackendKind = BackendKind::kEngine;
  std::string mListen = "127.0.0.1:9000";  ///< for routers
  std::string mBackend = "127.0.0.1:7000"; ///< the engine or plain service
  AdmissionSettings mAdmission;
  std::int64_t mMicrosPerBlock = 4000; ///< assumed until it has been measured
  Millis mBackendTimeout{ 2000 };      ///< for the backend to connect
  Millis mClaimTimeout{ 2000 };        ///< to settle a claim
  Millis mClaimRetention{ 24L * 3600 * 1000 }; ///< then its key is free again
  Millis mPollInterval{ 500 }; ///< of the engine's load and state
};

/// All settings of a shuntjunctiond process.
struct Settings
{
  std::string mName; ///< of this instance, as listed in the platform
  ProcessRole mRole = ProcessRole::kRouter;
  std::string mZone;                  ///< availability zone
  std::string mAdmin = "127.0.0.1:0"; ///< health, metrics, status, drain
  std::string mPlatform;           ///< "host:port" of the platform's object API
  std::string mSecret;             ///< shared by all processes of the system
  std::vector<std::string> mPeers; ///< frame addresses to take snapshots from
  Millis mPlatformTimeout{ 1000 };
  Millis mWatchTimeout{ 30000 }; ///< maximum duration of one watch
  WatcherSettings mWatchers;
  Millis mDrainTimeout{ 60000 }; ///< maximum time that a stop waits for streams
  /// How long a stopping router still accepts requests, so that its load
  /// balancer can notice the stop.
  Millis mStopNotice{ 2000 };
  LogFormat mLogFormat = LogFormat::kText;
  LogLevel mLogLevel = LogLevel::kInfo;
  LimitSettings mLimits;
  RouterSettings mRouter;
  CompanionSettings mCompanion;
};

/// An IP address and a port.
struct Address
{
  std::string mHost;
  std::uint16_t mPort = 0;

  /// "host:port".
  std::string Text() const { return mHost + ":" + std::to_string(mPort); }
};

/// Parses "127.0.0.1:80" or "[::1]:80".
Result<Address>
ParseAddress(std::string_view aText);

/// Parses and validates the text of a settings file.
Result<Settings>
ReadSettings(std::string_view aText, std::string_view aFile);

} // namespace shuntjunction::state
