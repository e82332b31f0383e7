#include <algorithm>

#include "placement_core.h"

namespace cicadaloft {

std::uint32_t PlacementCore::StoreLoadCount() const {
  const auto expected = static_cast<std::uint32_t>(
      std::ranges::count_if(this->trackers, [](const auto& entry) {
        const auto& loading = entry.second.loading();
        return loading && loading->source == WeightSource::kStore;
      }));
  return expected + this->store_loads.OverdueCount(this->now);
}

void PlacementCore::CheckStoreLoads() {
  for (const TargetId& target : this->store_loads.Targets()) {
    const auto found = this->fleet->targets.find(target);
    const auto tracker = this->trackers.find(target);
    const bool has_new_process =
        tracker == this->trackers.end() ||
        !tracker->second.HasPath(*this->store_loads.RunningOn(target));
    if (found == this->fleet->targets.end() || has_new_process) {
      this->store_loads.Forget(target);
    } else if (std::ranges::binary_search(
                   found->second->loaded,
                   *this->store_loads.RunningOn(target))) {
      this->RecordStoreLoad(target);
    }
  }
}

void PlacementCore::RecordStoreLoad(const TargetId& target) {
  const std::uint32_t limit = this->store_loads.limit();
  const ModelPath path = *this->store_loads.RunningOn(target);
  const auto measured = this->store_loads.OnLoaded(target, this->now);
  if (measured.is_late || measured.limit != limit) {
    this->LogDecision("place.store_load_late",
                      {{"target", target.value()},
                       {"path", path.ToString()},
                       {"took_ms", measured.took},
                       {"stated_ms", measured.stated},
                       {"concurrent_percent",
                        static_cast<std::int64_t>(measured.concurrent * 100)},
                       {"limit", measured.limit}});
  }
}

void PlacementCore::PublishStoreLoadLimit() {
  const auto limit = this->token == FencingToken()
                         ? std::nullopt
                         : std::optional(this->store_loads.limit());
  if (this->published_limit != limit) {
    this->published_limit = limit;
    this->effects.emplace_back(StoreLoadLimitChanged{.limit = limit});
  }
}

}  // namespace cicadaloft
