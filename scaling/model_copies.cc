#include "model_copies.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>

namespace cicadaloft {
namespace {

/// A model without requests for this long is not in use; longer than two waves
/// of demand.
constexpr Duration kUseTtl = std::chrono::seconds(30);

std::set<ModelId> CopiesOn(const TargetRecord& record) {
  std::set<ModelId> models(record.in_memory.begin(), record.in_memory.end());
  models.insert(record.on_disk.begin(), record.on_disk.end());
  std::ranges::transform(record.loaded, std::inserter(models, models.end()),
                         &ModelPath::model);
  return models;
}

}  // namespace

void ModelsInUse::Add(const ModelUsageReport& report, TimePoint now) {
  for (const ModelUsage& usage : report.usages) {
    if (usage.arrivals > 0 || usage.running > 0) {
      this->last_use[usage.path.model] = now;
    }
  }
}

std::set<ModelId> ModelsInUse::At(TimePoint now) const {
  std::set<ModelId> models;
  for (const auto& [model, used_at] : this->last_use) {
    if (now - used_at < kUseTtl) {
      models.insert(model);
    }
  }
  return models;
}

ModelCopies FindModelCopies(const Fleet& fleet,
                            const ServiceId& service,
                            const std::set<DataCentreId>& evacuated,
                            const std::set<ModelId>& models_in_use) {
  // Null if several targets have a copy.
  std::map<ModelId, const TargetRecord*> holder_of_only_copy;
  for (const TargetRecordPtr& record : fleet.targets | std::views::values) {
    if (record->service != service || record->is_draining ||
        evacuated.contains(record->data_centre)) {
      continue;
    }
    for (const ModelId& model : CopiesOn(*record)) {
      const auto [entry, is_first] =
          holder_of_only_copy.try_emplace(model, record.get());
      entry->second = is_first ? entry->second : nullptr;
    }
  }
  ModelCopies copies;
  std::set<const TargetRecord*> holders;
  for (const ModelId& model : models_in_use) {
    const auto found = holder_of_only_copy.find(model);
    if (found == holder_of_only_copy.end()) {
      continue;
    }
    copies.held.insert(model);
    if (found->second != nullptr) {
      holders.insert(found->second);
    }
  }
  for (const TargetRecord* holder : holders) {
    ++copies.only_holders[holder->data_centre];
  }
  return copies;
}

}  // namespace cicadaloft
