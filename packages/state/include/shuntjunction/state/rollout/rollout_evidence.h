#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "shuntjunction/state/clock.h"

/// What relays observe of the versions of a service during a roll-out.
namespace shuntjunction::state {

/// Buckets of a latency histogram; each covers a factor of 1.5 from 1 ms on,
/// the last everything above 11 s.
inline constexpr std::size_t kRolloutLatencyBuckets = 24;

/// Bucket of a latency.
std::size_t
RolloutLatencyBucket(Millis aLatency);

/// Outcomes of the requests of one route at one version.
struct RolloutOutcomes
{
  std::uint64_t mRequests = 0; ///< with an outcome
  std::uint64_t mFailed = 0;
  /// Time to the first byte of the others.
  std::array<std::uint32_t, kRolloutLatencyBuckets> mLatency{};

  RolloutOutcomes& operator+=(const RolloutOutcomes& aOther);
  bool operator==(const RolloutOutcomes&) const = default;
};

/// The requests that share a row of the evidence.
struct RolloutKey
{
  std::uint64_t mRoute = 0; ///< hash of the route's name
  bool mIsTarget = false;   ///< served by the target version
  /// Hash of the endpoint of the target version; 0 for all others.
  std::uint64_t mEndpoint = 0;

  auto operator<=>(const RolloutKey&) const = default;
};

/// Outcomes of requests, by their key.
using RolloutOutcomeTable = std::map<RolloutKey, RolloutOutcomes>;

/// All that one relay observed since it learned of an order; the totals only
/// increase, so that a lost report loses nothing.
struct RolloutReport
{
  std::string mService;
  std::uint64_t mOrderId = 0;
  std::string mRelay;            ///< name of the relay
  std::uint64_t mRelayStart = 0; ///< identifies one run of the relay's process
  std::uint32_t mStep = 0;       ///< the step that the relay applies
  std::uint64_t mSent = 0;       ///< requests sent to the service
  std::uint64_t mExposed = 0;    ///< of these, to the target version
  /// Requests that run at other versions now.
  std::uint32_t mOldRunning = 0;
  RolloutOutcomeTable mOutcomes;

  bool operator==(const RolloutReport&) const = default;
};

/// The latest reports of all relays on one order.
///
/// Thread safety: none; owned by one thread.
class RolloutEvidence
{
public:
  /// Runs of relays whose reports are kept; beyond it, those heard of last.
  static constexpr std::size_t kMaxSources = 4096;
  /// Bad answers from which on the bound on rolling back counts.
  static constexpr std::uint64_t kCountedAnswers = 50;

  explicit RolloutEvidence(std::uint64_t aOrderId)
    : mOrderId(aOrderId)
  {
  }

  /// Replaces the relay's former report; ignores reports of other orders. What
  /// an earlier run of a relay's process reported stays part of the totals.
  void Apply(const RolloutReport& aReport, TimePoint aNow);

  std::uint64_t OrderId() const { return mOrderId; }

  /// Sum over all relays, including those that were lost.
  RolloutOutcomeTable Outcomes() const;

  std::uint64_t Sent() const;
  std::uint64_t Exposed() const;

  /// When the reports first showed kCountedAnswers requests at the target
  /// version: if all of them get bad answers, the bound on rolling back counts
  /// from about then. Empty until then.
  std::optional<TimePoint> CountedSince() const { return mCountedSince; }

  /// Whether each relay that reported within aMaxAge applies a step and runs
  /// nothing at other versions than the target; false if none reported.
  bool HasLeftOldVersions(std::uint32_t aStep,
                          TimePoint aNow,
                          Millis aMaxAge) const;

private:
  struct Source
  {
    RolloutReport mReport;
    TimePoint mAt;
  };

  std::uint64_t mOrderId;
  /// By the relay and the start of its process.
  std::map<std::pair<std::string, std::uint64_t>, Source> mSources;
  std::optional<TimePoint> mCountedSince;
};

} // namespace shuntjunction::state
