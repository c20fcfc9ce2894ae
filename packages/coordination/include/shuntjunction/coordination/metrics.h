#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "shuntjunction/state/request_types.h"

/// What a process measures of itself.
namespace shuntjunction::coordination {

/// Teams that have histograms of their own; further ones share "other".
inline constexpr std::size_t kMaxMeasuredTeams = 2048;

/// What is measured of requests, by team and class.
enum class RequestMetric : std::uint8_t
{
  kFirstToken,    ///< seconds from arrival to the first token
  kBetweenTokens, ///< seconds between two tokens
  kQueue,         ///< seconds until an endpoint took it
  kCachedShare,   ///< share of its prompt's blocks that were cached
  kRecomputed,    ///< blocks of its prompt that were computed
};

/// Names of RequestMetric, as metrics.
inline constexpr state::EnumNames<RequestMetric, 5> kRequestMetricNames{
  { "shuntjunction_first_token_seconds",
    "shuntjunction_between_tokens_seconds",
    "shuntjunction_queue_seconds",
    "shuntjunction_cached_share",
    "shuntjunction_recomputed_blocks" }
};

/// Counts of values in buckets, with their sum and greatest.
class Histogram
{
public:
  static constexpr std::size_t kBuckets = 14;

  /// @param aBounds  upper bounds of the buckets, rising
  explicit Histogram(const std::array<double, kBuckets>& aBounds);

  /// Adds one value.
  void Add(double aValue);

  /// Values added.
  std::uint64_t Count() const;
  /// Sum of the values.
  double Sum() const;
  /// Upper bounds of the buckets.
  const std::array<double, kBuckets>& Bounds() const { return *mBounds; }
  /// Values at or below each bound that are above the one before.
  const std::array<std::uint32_t, kBuckets + 1>& Buckets() const
  {
    return mBuckets;
  }

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max>>;

  const std::array<double, kBuckets>* mBounds;
  std::array<std::uint32_t, kBuckets + 1> mBuckets{};
  Accumulator mAccumulator;
};

/// Labels of a metric, in order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process.
///
/// Thread safety: none; owned by the traffic thread.
class Metrics
{
public:
  /// Adds a value of a request.
  void Observe(RequestMetric aMeasure,
               std::string_view aTeam,
               state::Priority aPriority,
               double aValue);

  /// Adds to a counter, made on first use.
  void Count(std::string_view aName,
             const MetricLabels& aLabels = {},
             double aBy = 1.0);

  /// Sets a gauge, made on first use.
  void Set(std::string_view aName,
           double aValue,
           const MetricLabels& aLabels = {});

  /// Value of a counter or gauge; zero when it was never used.
  double Value(std::string_view aName, const MetricLabels& aLabels = {}) const;

  /// All metrics in the text exposition format.
  std::string Expose() const;

private:
  struct Series
  {
    std::string mName;
    MetricLabels mLabels;

    auto operator<=>(const Series&) const = default;
  };
  struct RequestKey
  {
    std::string mTeam;
    state::Priority mPriority;

    auto operator<=>(const RequestKey&) const = default;
  };
  using RequestHistograms = std::map<RequestKey, Histogram>;

  std::map<Series, double> mCounters;
  std::map<Series, double> mGauges;
  std::array<RequestHistograms, 5> mRequests;
};

} // namespace shuntjunction::coordination
