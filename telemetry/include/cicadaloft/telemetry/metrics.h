#ifndef CICADALOFT_TELEMETRY_METRICS_H_
#define CICADALOFT_TELEMETRY_METRICS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// One label of a time series.
struct MetricLabel {
  const std::string name;
  const std::string value;

  friend auto operator<=>(const MetricLabel&, const MetricLabel&) = default;
  friend bool operator==(const MetricLabel&, const MetricLabel&) = default;
};

/// Identifies a time series: a metric's name and labels.
struct MetricKey {
  const std::string name;
  const std::vector<MetricLabel> labels;

  friend auto operator<=>(const MetricKey&, const MetricKey&) = default;
  friend bool operator==(const MetricKey&, const MetricKey&) = default;
};

/// One time series of a gauge.
struct GaugeSeries {
  std::vector<MetricLabel> labels;
  double value = 0;

  friend auto operator<=>(const GaugeSeries&, const GaugeSeries&) = default;
  friend bool operator==(const GaugeSeries&, const GaugeSeries&) = default;
};

/// Counters, gauges and distributions of times. Used by one thread only.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(Metrics&& other) noexcept;

  /// Adds to a counter, whose name should end in "_total".
  void AddToCounter(const MetricKey& key, std::uint64_t amount = 1);
  void SetGauge(const MetricKey& key, double value);
  /// Replaces all time series of a gauge.
  void ReplaceGauge(const std::string& name,
                    const std::vector<GaugeSeries>& series);
  /// Adds a time to a distribution, whose name should end in "_seconds".
  void Observe(const MetricKey& key, Duration time);

  /// @return all metrics in the Prometheus text format; distributions as
  /// summaries with the quantiles 0.5, 0.95 and 0.99 in seconds.
  std::string Render() const;

 private:
  class Distribution;

  std::map<MetricKey, std::uint64_t> counters;
  std::map<MetricKey, double> gauges;
  std::map<MetricKey, std::unique_ptr<Distribution>> distributions;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_TELEMETRY_METRICS_H_
