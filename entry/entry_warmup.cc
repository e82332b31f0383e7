#include <numeric>

#include "cicadaloft/entry/event_names.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_core.h"

namespace cicadaloft {

// Whether the target is cold and its service limits the request rate of cold
// targets, so that hosts have to share that rate.
bool EntryCore::NeedsWarmupPermit(const TargetView& target) const {
  if (!target.IsCold(this->now) || !this->configuration) {
    return false;
  }
  const Service* service =
      this->configuration->FindService(target.record().service);
  return service != nullptr && service->cold_requests_per_second > 0;
}

// Requests permits for a cold target that could serve some of the waiting
// requests.
void EntryCore::RequestWarmup(const QueueKey& key,
                              const WaitQueue& queue,
                              const Candidates& candidates) {
  if (!this->shares.is_lease_holder_reachable) {
    return;
  }
  const auto waiting = static_cast<std::uint32_t>(queue.requests.size());
  const std::uint32_t outstanding =
      std::accumulate(candidates.begin(), candidates.end(), std::uint32_t{0},
                      [this](std::uint32_t sum, const TargetView* target) {
                        return sum + this->permits.OutstandingCount(
                                         target->record().id, this->now);
                      });
  if (outstanding >= waiting) {
    return;
  }
  const OpenRequest& oldest = this->requests.at(*queue.requests.Oldest());
  const TargetView* target = ChooseTarget(
      candidates, this->PreferenceOf(oldest), this->now,
      [&](const TargetView& view) {
        const TargetId& id = view.record().id;
        return this->NeedsWarmupPermit(view) && this->IsUsable(view) &&
               !this->IsFull(view) && !oldest.Avoids(id, this->now) &&
               this->permits.OutstandingCount(id, this->now) == 0;
      });
  if (target == nullptr) {
    return;
  }
  this->Log(event_names::kWarmupRequest, oldest.arrival.caller_request_id,
            {{"target", target->record().id.value()},
             {"model", key.model ? key.model->ToString() : "-"},
             {"waiting", waiting},
             {"cold_ms", target->ColdRemaining(this->now)}});
  this->effects.emplace_back(
      this->permits.CreateRequest(this->settings.host, target->record().id,
                                  waiting - outstanding, this->now));
}

void EntryCore::Handle(const WarmupGrant& grant) {
  this->permits.OnGrant(grant);
  this->DispatchFromAllQueues();
}

// Targets that receive requests again after an evacuation may have become cold
// meanwhile.
void EntryCore::PresumeCold(const std::set<DataCentreId>& data_centres) {
  for (auto& [id, target] : this->targets) {
    if (data_centres.contains(target.record().data_centre)) {
      target.PresumeCold(this->now);
    }
  }
}

}  // namespace cicadaloft
