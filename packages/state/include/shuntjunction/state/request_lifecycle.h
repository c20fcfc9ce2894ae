#pragma once

#include <cstdint>
#include <memory>

#include "shuntjunction/state/enum_names.h"

/// Lifecycle of a request in its router: whether it may be sent, and whether it
/// may have run.
namespace shuntjunction::state {

/// Whether a request may be run twice.
enum class Repeatability : std::uint8_t
{
  kRepeatable, ///< idempotent: running it again only costs time
  kClaimed,    ///< at most once, ensured by a claim in the platform
  kUnclaimed,  ///< not safe to repeat, and not protected by a claim
};

/// Names of Repeatability.
inline constexpr EnumNames<Repeatability, 3> kRepeatabilityNames{
  { "repeatable", "claimed", "unclaimed" }
};

/// State of a request in its router.
enum class RequestState : std::uint8_t
{
  kUnsent,    ///< no endpoint has it or may have run it
  kOffered,   ///< sent to a companion that has not replied
  kRunning,   ///< handed over to the backend by a companion
  kUncertain, ///< an endpoint may have run it
  kComplete,  ///< the whole answer was received
  kSettled,   ///< ended with a known outcome other than an answer
};

/// Names of RequestState.
inline constexpr EnumNames<RequestState, 6> kRequestStateNames{
  { "unsent", "offered", "running", "uncertain", "complete", "settled" }
};

/// Lifecycle of one request over all its attempts.
///
///     unsent, uncertain --offered--> offered
///     offered --refused--> unsent, or uncertain if it was so before
///     offered --started--> running
///     offered, running --lost--> uncertain
///     offered, running --finished--> complete
///     offered, running --settled--> settled
///
/// A request that was uncertain once never becomes unsent again: the refusal of
/// a later attempt does not prove that no earlier one ran.
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
  /// The companion refused it before handing it over to its backend.
  void Refused();
  /// The companion handed it over to its backend.
  void Started();
  /// The link or the backend failed, or an answer timed out.
  void Lost();
  /// The whole answer was received.
  void Finished();
  /// It was rejected: its key is in use or was used with another body.
  void Settled();

  /// Whether it may be sent to an endpoint now.
  bool MayOffer() const;

  /// Whether Lost was called after it had been sent.
  bool WasLost() const;

  /// Whether it is certain that no endpoint ran it.
  bool IsNotRun() const;

  /// Current state.
  RequestState State() const;

private:
  struct Machine;
  std::unique_ptr<Machine> mMachine;
};

} // namespace shuntjunction::state
