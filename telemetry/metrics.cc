#include "cicadaloft/telemetry/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstddef>
#include <sstream>

namespace cicadaloft {
namespace {

namespace acc = boost::accumulators;

constexpr std::array kQuantiles = {0.5, 0.95, 0.99};
/// The estimator has two markers per quantile and three more, and gives no
/// estimate before each has a sample.
constexpr std::size_t kMarkerCount = 2 * kQuantiles.size() + 3;

using Samples = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square>>;

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

/// @param extra_label one more formatted label, or empty.
std::string FormatLabels(const MetricKey& key,
                         const std::string& extra_label = "") {
  std::string text;
  for (const MetricLabel& label : key.labels) {
    text += (text.empty() ? "" : ",") + label.name + "=\"" +
            EscapeLabel(label.value) + "\"";
  }
  if (!extra_label.empty()) {
    text += (text.empty() ? "" : ",") + extra_label;
  }
  return text.empty() ? text : "{" + text + "}";
}

/// Writes the type before the first series of each name; expects sorted names.
class TypeWriter {
 public:
  TypeWriter(std::ostream& out, std::string type)
      : out(out), type(std::move(type)) {}

  void Write(const std::string& name) {
    if (name == this->last_name) {
      return;
    }
    this->last_name = name;
    this->out << "# TYPE " << name << " " << this->type << "\n";
  }

 private:
  std::ostream& out;
  std::string type;
  std::string last_name;
};

}  // namespace

class Metrics::Distribution {
 public:
  Distribution()
      : samples(acc::tag::extended_p_square::probabilities = kQuantiles) {}

  void Add(double seconds) {
    this->samples(seconds);
    if (this->first_samples.size() < kMarkerCount) {
      this->first_samples.insert(
          std::ranges::upper_bound(this->first_samples, seconds), seconds);
    }
  }

  std::size_t Count() const { return acc::count(this->samples); }
  double Sum() const {
    return acc::mean(this->samples) * static_cast<double>(this->Count());
  }
  double Quantile(std::size_t index) const {
    if (this->Count() > kMarkerCount) {
      return acc::extended_p_square(
          this->samples)[static_cast<std::ptrdiff_t>(index)];
    }
    const double rank = std::ceil(
        kQuantiles[index] * static_cast<double>(this->first_samples.size()));
    return this->first_samples[static_cast<std::size_t>(rank) - 1];
  }

 private:
  Samples samples;
  std::vector<double> first_samples;  ///< Sorted; for quantiles of few samples.
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;
Metrics::Metrics(Metrics&& other) noexcept = default;

void Metrics::AddToCounter(const MetricKey& key, std::uint64_t amount) {
  this->counters[key] += amount;
}

void Metrics::SetGauge(const MetricKey& key, double value) {
  this->gauges[key] = value;
}

void Metrics::ReplaceGauge(const std::string& name,
                           const std::vector<GaugeSeries>& series) {
  std::erase_if(this->gauges,
                [&](const auto& entry) { return entry.first.name == name; });
  for (const GaugeSeries& item : series) {
    this->SetGauge(MetricKey{.name = name, .labels = item.labels}, item.value);
  }
}

void Metrics::Observe(const MetricKey& key, Duration time) {
  auto& distribution = this->distributions[key];
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->Add(std::chrono::duration<double>(time).count());
}

std::string Metrics::Render() const {
  std::ostringstream out;
  TypeWriter counter_type(out, "counter");
  for (const auto& [key, value] : this->counters) {
    counter_type.Write(key.name);
    out << key.name << FormatLabels(key) << " " << value << "\n";
  }
  TypeWriter gauge_type(out, "gauge");
  for (const auto& [key, value] : this->gauges) {
    gauge_type.Write(key.name);
    out << key.name << FormatLabels(key) << " " << value << "\n";
  }
  TypeWriter summary_type(out, "summary");
  for (const auto& [key, distribution] : this->distributions) {
    summary_type.Write(key.name);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      std::ostringstream label;
      label << "quantile=\"" << kQuantiles[i] << "\"";
      out << key.name << FormatLabels(key, label.str()) << " "
          << distribution->Quantile(i) << "\n";
    }
    out << key.name << "_sum" << FormatLabels(key) << " " << distribution->Sum()
        << "\n"
        << key.name << "_count" << FormatLabels(key) << " "
        << distribution->Count() << "\n";
  }
  return out.str();
}

}  // namespace cicadaloft
