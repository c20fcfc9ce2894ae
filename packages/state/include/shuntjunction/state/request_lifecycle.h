#pragma once

#include <cstdint>
#include <memory>

#include "shuntjunction/state/enum_names.h"

/// What a router may still do with a request, and what it may say of it.
namespace shuntjunction::state {

/// What running a request twice would mean.
enum class Repeatability : std::uint8_t
{
  kRepeatable, ///< running it again costs time only
  kClaimed,    ///< at most once, guarded by a claim in the platform
  kUnclaimed,  ///< not safe to repeat, and nothing guards it
};

/// Names of Repeatability.
inline constexpr EnumNames<Repeatability, 3> kRepeatabilityNames{
  { "repeatable", "claimed", "unclaimed" }
};

/// State of a request in its router.
enum class RequestState : std::uint8_t
{
  kUnsent,    ///< no endpoint holds it, and none may have run it
  kOffered,   ///< sent to a companion that has not answered
  kRunning,   ///< a companion said that its backend has it
  kUncertain, ///< an endpoint may have run it and no more is known
  kComplete,  ///< the whole answer was received
  kSettled,   ///< its end is known, and it is not an answer
};

/// Names of RequestState.
inline constexpr EnumNames<RequestState, 6> kRequestStateNames{
  { "unsent", "offered", "running", "uncertain", "complete", "settled" }
};

/// Lifecycle of one request over all its attempts.
///
///     unsent --offered--> offered --refused--> unsent
///     offered --started--> running --finished--> complete
///     offered, running --lost--> uncertain --offered--> offered
///
/// Once a request was uncertain it is never said to be not run, whatever a
/// later attempt's refusal says.
/// Thread safety: none; owned by the request.
class RequestLifecycle
{
public:
  explicit RequestLifecycle(Repeatability aRepeatability);
  ~RequestLifecycle();
  RequestLifecycle(const RequestLifecycle&) = delete;
  RequestLifecycle& operator=(const RequestLifecycle&) = delete;

  /// The request was sent to a companion.
  void Offered();
  /// The companion refused it before it was handed over.
  void Refused();
  /// The companion handed it over.
  void Started();
  /// The link or the backend failed, or an answer did not come in time.
  void Lost();
  /// The whole answer was received.
  void Finished();
  /// Its end is known: its key is taken or was used with another body.
  void Settled();

  /// Whether it may be sent to an endpoint now.
  bool MayOffer() const;

  /// Whether an endpoint was lost to which it had been sent.
  bool WasLost() const;

  /// Whether it is certain that no endpoint ran it.
  bool IsNotRun() const;

  /// Present state.
  RequestState State() const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
