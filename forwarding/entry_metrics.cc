#include "cicadaloft/forwarding/entry_metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace cicadaloft {
namespace {

namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<
    double,
    acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

Duration ValueIn(const Quantile& quantile) {
  return acc::count(quantile) == 0 ? Duration::zero()
                                   : Duration(static_cast<Duration::rep>(
                                         acc::p_square_quantile(quantile)));
}

class Latency {
 public:
  void Add(Duration sample) {
    const auto number = static_cast<double>(sample.count());
    this->median(number);
    this->p95(number);
    this->p99(number);
  }

  LatencySummary Summary() const {
    return LatencySummary{.count = acc::count(this->median),
                          .median = ValueIn(this->median),
                          .p95 = ValueIn(this->p95),
                          .p99 = ValueIn(this->p99)};
  }

 private:
  Quantile median{acc::quantile_probability = kMedian};
  Quantile p95{acc::quantile_probability = kP95};
  Quantile p99{acc::quantile_probability = kP99};
};

}  // namespace

struct EntryMetrics::Latencies {
  Latency first_byte;
  Latency whole;
};

EntryMetrics::EntryMetrics() : latencies(std::make_unique<Latencies>()) {}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::CountDecision(const std::string& reason) {
  ++this->decisions[reason];
}

void EntryMetrics::CountRefusal(ErrorKind kind) {
  ++this->refusals[kind];
}

void EntryMetrics::CountStart(Duration since_arrival) {
  this->latencies->first_byte.Add(since_arrival);
}

void EntryMetrics::CountAnswer(int http_status, Duration since_arrival) {
  ++this->answers[http_status];
  this->latencies->whole.Add(since_arrival);
}

MetricsReply EntryMetrics::Read(const StatusReply& status) const {
  return MetricsReply{.status = status,
                      .decisions = this->decisions,
                      .refusals = this->refusals,
                      .answers = this->answers,
                      .first_byte = this->latencies->first_byte.Summary(),
                      .whole = this->latencies->whole.Summary()};
}

}  // namespace cicadaloft
