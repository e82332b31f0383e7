#include "cicadaloft/placement/target_watch.h"

#include <algorithm>
#include <ranges>

namespace cicadaloft {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A poll without an answer is taken as lost after this time.
constexpr Duration kPollTime = seconds(5);
constexpr Duration kFreshTime = seconds(3);
/// Between two passings-on of a changed and of an unchanged load.
constexpr Duration kChangedNewsInterval = milliseconds(500);
constexpr Duration kNewsInterval = seconds(2);

}  // namespace

std::vector<TargetId> TargetWatch::Due(const Config& config,
                                       const DataCentreId& data_centre,
                                       Duration interval,
                                       TimePoint now) {
  std::vector<TargetId> due;
  std::erase_if(this->sightings, [&](const auto& sighting) {
    return config.Find<Target>(sighting.first.value()) == nullptr;
  });
  std::ranges::for_each(
      config.All<Target>() | std::views::values, [&](const auto& target) {
        const auto* back_end = config.Find<BackEnd>(target->back_end.value());
        if (target->data_centre != data_centre || back_end == nullptr ||
            back_end->kind != BackEndKind::kModel) {
          return;
        }
        TargetSighting& sighting = this->sightings[target->id];
        if (now - sighting.asked >=
            (sighting.is_polling ? kPollTime : interval)) {
          sighting.asked = now;
          sighting.is_polling = true;
          due.push_back(target->id);
        }
      });
  return due;
}

NewsReach TargetWatch::Reported(const TargetReport& report, TimePoint now) {
  TargetSighting& sighting = this->sightings[report.target];
  const auto& before = sighting.report;
  const bool has_new_models = !before.has_value() ||
                              before->instance != report.instance ||
                              before->models != report.models;
  const bool has_new_load = !before.has_value() ||
                            before->running != report.running ||
                            before->queued != report.queued;
  const bool is_due = now - sighting.news >=
                      (has_new_load ? kChangedNewsInterval : kNewsInterval);
  sighting.report.emplace(report);
  sighting.polled = sighting.is_polling ? sighting.asked : sighting.polled;
  sighting.reported = now;
  sighting.is_polling = false;
  if (!has_new_models && !is_due) {
    return NewsReach::kNone;
  }
  sighting.news = now;
  return has_new_models ? NewsReach::kAll : NewsReach::kDataCentre;
}

void TargetWatch::Failed(const TargetId& target) {
  const auto found = this->sightings.find(target);
  if (found != this->sightings.end()) {
    found->second.is_polling = false;
  }
}

const TargetReport* TargetWatch::FreshReport(const TargetId& target,
                                             TimePoint now) const {
  const TargetSighting* sighting = this->Find(target);
  const bool is_fresh = sighting != nullptr && sighting->report.has_value() &&
                        now - sighting->reported < kFreshTime;
  return is_fresh ? &*sighting->report : nullptr;
}

const TargetSighting* TargetWatch::Find(const TargetId& target) const {
  const auto found = this->sightings.find(target);
  return found == this->sightings.end() ? nullptr : &found->second;
}

const ReportedModel* FindReported(const TargetReport& report,
                                  const ModelId& model) {
  const auto found =
      std::ranges::find(report.models, model, &ReportedModel::model);
  return found == report.models.end() ? nullptr : &*found;
}

CheckpointTier TierOf(const TargetReport& report, const ModelId& model) {
  const auto found =
      std::ranges::find(report.checkpoints, model, &CachedCheckpoint::model);
  return found == report.checkpoints.end() ? CheckpointTier::kRemote
                                           : found->tier;
}

}  // namespace cicadaloft
