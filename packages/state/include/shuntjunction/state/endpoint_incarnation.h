#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "shuntjunction/state/clock.h"

/// Distinguishes the incarnations of an endpoint, one per process start.
namespace shuntjunction::state {

/// One incarnation of an endpoint, identified by its start time.
///
/// An endpoint may restart under the same id. It then has none of its former
/// state: no cached parts, requests, orders or counters.
class EndpointIncarnation
{
public:
  /// An unknown incarnation, for endpoints that do not report their start.
  EndpointIncarnation() = default;

  /// @param aStartedAt  Unix time of the start in ms, by the endpoint's clock
  explicit EndpointIncarnation(std::int64_t aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  bool IsKnown() const { return mStartedAt != kUnknown; }

  /// Unix time of the start in ms; 0 if unknown.
  std::int64_t StartedAt() const { return mStartedAt; }

  auto operator<=>(const EndpointIncarnation&) const = default;

private:
  static constexpr std::int64_t kUnknown = 0;

  std::int64_t mStartedAt = kUnknown;
};

/// How a reported incarnation relates to the current one.
enum class IncarnationUpdate : std::uint8_t
{
  kSame,   ///< the current incarnation, or unknown
  kNewer,  ///< another one, now current: former state is invalid
  kFormer, ///< an earlier one, presumed to have ended; to be ignored
};

/// Time after which an earlier start is accepted if the later one was not
/// reported meanwhile. A live endpoint rewrites its entry about every 1.2 s,
/// and its companion sends a message every second.
inline constexpr Millis kFormerIncarnationGrace{ 3000 };

/// Determines the current incarnation of an endpoint.
///
/// A later start is accepted at once. An earlier start is usually a delayed
/// report about the former incarnation, but it is valid if the endpoint's clock
/// ran ahead and was then corrected. It is therefore accepted once it is the
/// only one reported for kFormerIncarnationGrace.
/// Thread safety: none; owned by one thread.
class IncarnationTracker
{
public:
  /// Handles a report from any source; reports may arrive in any order.
  IncarnationUpdate Take(EndpointIncarnation aReported, TimePoint aNow);

  /// Handles the endpoint's own response to a query, always current.
  IncarnationUpdate TakeSelfReport(EndpointIncarnation aReported);

  /// Accepts an earlier start whose grace period has ended; returns whether
  /// there was one.
  bool PromoteEarlier(TimePoint aNow);

  /// The current incarnation.
  EndpointIncarnation Current() const { return mCurrent; }

private:
  void Adopt(EndpointIncarnation aIncarnation);

  EndpointIncarnation mCurrent;
  EndpointIncarnation mEarlier; ///< reported since mEarlierSince; unknown: none
  TimePoint mEarlierSince;
};

} // namespace shuntjunction::state
