#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "shuntjunction/state/enum_names.h"

/// Words that every layer uses of a request.
namespace shuntjunction::state {

/// Class of a request; a lower value goes first.
enum class Priority : std::uint8_t
{
  kUrgent,
  kPriority,
  kOrdinary,
};

/// How many classes there are.
inline constexpr std::size_t kPriorityCount = 3;

/// Names of Priority.
inline constexpr EnumNames<Priority, kPriorityCount> kPriorityNames{
  { "urgent", "priority", "ordinary" }
};

/// What a request asks of its endpoint.
enum class RequestKind : std::uint8_t
{
  kChat,       ///< chat completion by a model engine
  kCompletion, ///< text completion by a model engine
  kService,    ///< a call of a plain service
};

/// Names of RequestKind.
inline constexpr EnumNames<RequestKind, 3> kRequestKindNames{
  { "chat", "completion", "service" }
};

/// Why a companion refused a request; nothing was run.
enum class RefusalReason : std::uint8_t
{
  kQueueFull,    ///< the queue of its class is full
  kTooLate,      ///< the deadline passes before its turn
  kLeaving,      ///< the endpoint is leaving
  kWrongModel,   ///< the endpoint serves another model or weights version
  kEngineDown,   ///< the engine does not answer
  kPlatformDown, ///< a claim could not be settled
  kShed,         ///< more important work took its place
  kStaleConfig,  ///< the companion has not yet got the request's team
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

/// What is known of a request that failed after it was handed over.
enum class RunState : std::uint8_t
{
  kNotRun,       ///< it never reached an engine or a service
  kUnknown,      ///< it may have run
  kAlreadyTaken, ///< an earlier arrival of its key holds the claim
  kKeyReused,    ///< its key was used before with another body
};

/// Names of RunState.
inline constexpr EnumNames<RunState, 4> kRunStateNames{
  { "not-run", "unknown", "already-taken", "key-reused" }
};

} // namespace shuntjunction::state
