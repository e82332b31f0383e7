#include "target_count_gauges.h"

namespace cicadaloft {

std::vector<GaugeReplaced> MakeTargetCountGauges(
    const TargetCountsChanged& change) {
  std::vector<GaugeSeries> running;
  std::vector<GaugeSeries> ordered;
  for (const TargetCount& count : change.counts) {
    const std::vector<MetricLabel> labels = {
        {.name = "service", .value = count.service.value()},
        {.name = "data_centre", .value = count.data_centre.value()}};
    running.push_back(GaugeSeries{.labels = labels,
                                  .value = static_cast<double>(count.running)});
    if (count.ordered) {
      ordered.push_back(GaugeSeries{
          .labels = labels, .value = static_cast<double>(*count.ordered)});
    }
  }
  return {GaugeReplaced{.name = "cicadaloft_scaling_running_targets",
                        .series = running},
          GaugeReplaced{.name = "cicadaloft_scaling_ordered_targets",
                        .series = ordered}};
}

}  // namespace cicadaloft
