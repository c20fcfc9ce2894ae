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

/// Metrics of a process.
namespace shuntjunction::coordination {

/// Maximum number of teams with separate histograms; further teams are counted
/// together as "other".
inline constexpr std::size_t kMaxTeamsWithHistograms = 2048;

/// Metrics of requests, recorded by team and priority class.
enum class RequestMetric : std::uint8_t
{
  kFirstToken,    ///< seconds from arrival to the first token
  kBetweenTokens, ///< seconds between two tokens
  kQueue,         ///< seconds until an endpoint accepted the request
  kCachedShare,   ///< fraction of the prompt's blocks that were cached
  kRecomputed,    ///< blocks of the prompt that were computed
};

/// Metric names of RequestMetric.
inline constexpr state::EnumNames<RequestMetric, 5> kRequestMetricNames{
  { "shuntjunction_first_token_seconds",
    "shuntjunction_between_tokens_seconds",
    "shuntjunction_queue_seconds",
    "shuntjunction_cached_share",
    "shuntjunction_recomputed_blocks" }
};

/// Histogram of values with their sum and maximum.
class Histogram
{
public:
  static constexpr std::size_t kBuckets = 14;

  /// @param aBounds  upper bounds of the buckets in ascending order; they
  ///                 outlive the histogram
  explicit Histogram(const std::array<double, kBuckets>& aBounds);

  /// Records a value.
  void Add(double aValue);

  /// Number of recorded values.
  std::uint64_t Count() const;
  /// Sum of the recorded values.
  double Sum() const;
  /// Upper bounds of the buckets.
  const std::array<double, kBuckets>& Bounds() const { return *mBounds; }
  /// Number of values per bucket, not cumulative; the last bucket is unbounded.
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

/// Labels of a metric, as name and value.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process.
///
/// Thread safety: none; owned by the traffic thread.
class Metrics
{
public:
  /// Records a value for a request.
  void Observe(RequestMetric aMetric,
               std::string_view aTeam,
               state::Priority aPriority,
               double aValue);

  /// Increments a counter, which is created on first use.
  void Count(std::string_view aName,
             const MetricLabels& aLabels = {},
             double aBy = 1.0);

  /// Sets a gauge, which is created on first use.
  void Set(std::string_view aName,
           double aValue,
           const MetricLabels& aLabels = {});

  /// Value of a counter or gauge; zero if it does not exist.
  double Value(std::string_view aName, const MetricLabels& aLabels = {}) const;

  /// Serializes all metrics in the Prometheus text exposition format.
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
  std::array<RequestHistograms, 5> mRequestHistograms;
};

} // namespace shuntjunction::coordination
