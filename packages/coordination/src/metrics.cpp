#include "shuntjunction/coordination/metrics.h"

#include <algorithm>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace shuntjunction::coordination {

namespace {

constexpr std::array<double, Histogram::kBuckets> kSecondsBounds{
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.044, 0.1,
  0.25,  0.63,   1.0,   2.5,  5.0,   10.0,  30.0
};
constexpr std::array<double, Histogram::kBuckets> kShareBounds{
  0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 0.99, 1.0
};
constexpr std::array<double, Histogram::kBuckets> kBlocksBounds{
  0, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096
};

const std::array<double, Histogram::kBuckets>&
BoundsOf(RequestMetric aMetric)
{
  switch (aMetric) {
    case RequestMetric::kCachedShare:
      return kShareBounds;
    case RequestMetric::kRecomputed:
      return kBlocksBounds;
    default:
      return kSecondsBounds;
  }
}

prometheus::ClientMetric
WithLabels(const MetricLabels& aLabels)
{
  prometheus::ClientMetric metric;
  for (const auto& [name, value] : aLabels) {
    metric.label.push_back({ name, value });
  }
  return metric;
}

prometheus::MetricFamily&
FamilyOf(std::vector<prometheus::MetricFamily>& aFamilies,
         const std::string& aName,
         prometheus::MetricType aType)
{
  if (aFamilies.empty() || aFamilies.back().name != aName) {
    aFamilies.push_back({ aName, aName, aType, {} });
  }
  return aFamilies.back();
}

prometheus::ClientMetric::Histogram
ToPrometheus(const Histogram& aHistogram)
{
  prometheus::ClientMetric::Histogram histogram;
  histogram.sample_count = aHistogram.Count();
  histogram.sample_sum = aHistogram.Sum();
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < Histogram::kBuckets; ++i) {
    cumulative += aHistogram.Buckets()[i];
    histogram.bucket.push_back({ cumulative, aHistogram.Bounds()[i] });
  }
  return histogram;
}

} // namespace

Histogram::Histogram(const std::array<double, kBuckets>& aBounds)
  : mBounds(&aBounds)
{
}

void
Histogram::Add(double aValue)
{
  const auto bound = std::lower_bound(mBounds->begin(), mBounds->end(), aValue);
  ++mBuckets[static_cast<std::size_t>(bound - mBounds->begin())];
  mAccumulator(aValue);
}

std::uint64_t
Histogram::Count() const
{
  return boost::accumulators::count(mAccumulator);
}

double
Histogram::Sum() const
{
  return boost::accumulators::sum(mAccumulator);
}

void
Metrics::Observe(RequestMetric aMetric,
                 std::string_view aTeam,
                 state::Priority aPriority,
                 double aValue)
{
  auto& histograms = mRequestHistograms[static_cast<std::size_t>(aMetric)];
  RequestKey key{ std::string(aTeam), aPriority };
  const std::size_t maxHistograms =
    kMaxTeamsWithHistograms * state::kPriorityCount;
  if (histograms.size() >= maxHistograms && !histograms.contains(key)) {
    key.mTeam = "other";
  }
  histograms.try_emplace(std::move(key), BoundsOf(aMetric))
    .first->second.Add(aValue);
}

void
Metrics::Count(std::string_view aName, const MetricLabels& aLabels, double aBy)
{
  mCounters[{ std::string(aName), aLabels }] += aBy;
}

void
Metrics::Set(std::string_view aName, double aValue, const MetricLabels& aLabels)
{
  mGauges[{ std::string(aName), aLabels }] = aValue;
}

double
Metrics::Value(std::string_view aName, const MetricLabels& aLabels) const
{
  const Series series{ std::string(aName), aLabels };
  const auto counter = mCounters.find(series);
  if (counter != mCounters.end()) {
    return counter->second;
  }
  const auto gauge = mGauges.find(series);
  return gauge == mGauges.end() ? 0.0 : gauge->second;
}

std::string
Metrics::Expose() const
{
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [series, value] : mCounters) {
    auto metric = WithLabels(series.mLabels);
    metric.counter.value = value;
    FamilyOf(families, series.mName, prometheus::MetricType::Counter)
      .metric.push_back(std::move(metric));
  }
  for (const auto& [series, value] : mGauges) {
    auto metric = WithLabels(series.mLabels);
    metric.gauge.value = value;
    FamilyOf(families, series.mName, prometheus::MetricType::Gauge)
      .metric.push_back(std::move(metric));
  }
  for (std::size_t i = 0; i < mRequestHistograms.size(); ++i) {
    const std::string name(
      kRequestMetricNames.Name(static_cast<RequestMetric>(i)));
    for (const auto& [key, histogram] : mRequestHistograms[i]) {
      auto metric = WithLabels(
        { { "team", key.mTeam },
          { "class",
            std::string(state::kPriorityNames.Name(key.mPriority)) } });
      metric.histogram = ToPrometheus(histogram);
      FamilyOf(families, name, prometheus::MetricType::Histogram)
        .metric.push_back(std::move(metric));
    }
  }
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace shuntjunction::coordination
