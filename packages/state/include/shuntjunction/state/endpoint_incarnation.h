#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "shuntjunction/state/clock.h"

/// Which life of an endpoint a belief is about.
namespace shuntjunction::state {

/// One life of an endpoint, by the moment of its start.
///
/// An endpoint may start again under the id that it had. It then holds and
/// knows nothing of before: neither cached parts nor requests, orders or
/// counts.
class EndpointIncarnation
{
public:
  /// A life of which nothing is known, as of endpoints that do not tell.
  EndpointIncarnation() = default;

  /// @param aStartedAt  Unix time of the start in ms, by the endpoint's clock
  explicit EndpointIncarnation(std::int64_t aStartedAt)
    : mStartedAt(aStartedAt)
  {
  }

  bool IsKnown() const { return mStartedAt != kUnknown; }

  /// Unix time of the start in ms; 0 when it is not known.
  std::int64_t StartedAt() const { return mStartedAt; }

  auto operator<=>(const EndpointIncarnation&) const = default;

private:
  static constexpr std::int64_t kUnknown = 0;

  std::int64_t mStartedAt = kUnknown;
};

/// What a word about a life says beside what is believed.
enum class IncarnationUpdate : std::uint8_t
{
  kSame,   ///< the life that is believed, or none in particular
  kNewer,  ///< another life, believed from now on: nothing of before holds
  kFormer, ///< a life that is over: the word changes nothing
};

/// Time after which an earlier start is believed, if the later one was not
/// heard of meanwhile. An endpoint that lives writes its entry anew about each
/// 1.2 s, and its companion speaks each second.
inline constexpr Millis kFormerIncarnationGrace{ 3000 };

/// Decides which life of an endpoint is in force.
///
/// A later start is believed at once. An earlier one is most often the word of
/// the former life that comes late. But a clock may have run ahead before it
/// was set right: an earlier start is believed once only that is heard of.
/// Thread safety: none; owned by one thread.
class IncarnationTracker
{
public:
  /// Takes what a source says, in whatever order its words come.
  IncarnationUpdate Take(EndpointIncarnation aTold, TimePoint aNow);

  /// Takes what the endpoint itself answers to a question: that is its life.
  IncarnationUpdate TakeSelfReport(EndpointIncarnation aTold);

  /// Believes an earlier start whose grace has passed; whether one was.
  bool PromoteEarlier(TimePoint aNow);

  /// The life that is believed.
  EndpointIncarnation Current() const { return mCurrent; }

private:
  void Believe(EndpointIncarnation aLife);

  EndpointIncarnation mCurrent;
  EndpointIncarnation mEarlier; ///< told since mEarlierSince; unknown: none was
  TimePoint mEarlierSince;
};

} // namespace shuntjunction::state
