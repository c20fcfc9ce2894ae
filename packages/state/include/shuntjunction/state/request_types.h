#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "shuntjunction/state/enum_names.h"

/// Enumerations about requests that all layers share.
namespace shuntjunction::state {

/// Class of a request; lower values are served first.
enum class Priority : std::uint8_t
{
  kUrgent,
  kPriority,
  kOrdinary,
};

/// Number of classes.
inline constexpr std::size_t kPriorityCount = 3;

/// Names of Priority.
inline constexpr EnumNames<Priority, kPriorityCount> kPriorityNames{
  { "urgent", "priority", "ordinary" }
};

/// Kind of service that a request needs.
enum class RequestKind : std::uint8_t
{
  kChat,       ///< chat completion by a model engine
  kCompletion, ///< text completion by a model engine
  kService,    ///< call of a plain service
};

/// Names of RequestKind.
inline constexpr EnumNames<RequestKind, 3> kRequestKindNames{
  { "chat", "completion", "service" }
};

/// Why a companion refused a request; no part of it has run.
enum class RefusalReason : std::uint8_t
{
  kQueueFull,    ///< full queue without a request of a lower class
  kTooLate,      ///< it would miss its deadline
  kLeaving,      ///< the endpoint is leaving
  kWrongModel,   ///< the endpoint serves another model or weights version
  kEngineDown,   ///< the engine does not answer
  kPlatformDown, ///< its claim could not be decided
  kShed,         ///< removed from a full queue for one of a higher class
  kStaleConfig,  ///< the companion's configuration lacks the request's team
};

/// Names of RefusalReason.
inline constexpr EnumNames<RefusalReason, 8> kRefusalReasonNames{
  { "queue-full",
    "too-late",
    "leaving",
    "wrong-model",
    "engine-down",
    "platform-down",
    "shed",
    "stale-config" }
};

/// Whether a failed request has run.
enum class RunState : std::uint8_t
{
  kNotRun,       ///< it never reached an engine or a service
  kUnknown,      ///< it may have run
  kAlreadyTaken, ///< an earlier request with its key holds the claim
  kKeyReused,    ///< its key was used before with another body
};

/// Names of RunState.
inline constexpr EnumNames<RunState, 4> kRunStateNames{
  { "not-run", "unknown", "already-taken", "key-reused" }
};

} // namespace shuntjunction::state
