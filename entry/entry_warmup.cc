#include <numeric>

#include "cicadaloft/entry/reasons.h"
#include "cicadaloft/routing/target_choice.h"
#include "entry_core.h"

namespace cicadaloft {

// Whether the target bears so little now that hosts have to share it.
bool EntryCore::NeedsPermit(const TargetView& target) const {
  if (!target.IsCold(this->now) || !this->configuration) {
    return false;
  }
  const Service* service =
      this->configuration->FindService(target.record().service);
  return service != nullptr && service->cold_requests_per_second > 0;
}

// Requests wait, and a cold target could take some of them.
void EntryCore::AskForWarmup(const LineKey& key,
                             const Line& line,
                             const Candidates& candidates) {
  if (!this->shares.is_lease_holder_reachable) {
    return;
  }
  const auto waiting = static_cast<std::uint32_t>(line.queue.size());
  const std::uint32_t open =
      std::accumulate(candidates.begin(), candidates.end(), std::uint32_t{0},
                      [this](std::uint32_t sum, const TargetView* target) {
                        return sum + this->permits.OutstandingCount(
                                         target->record().id, this->now);
                      });
  if (open >= waiting) {
    return;
  }
  const OpenRequest& oldest = this->requests.at(*line.queue.Oldest());
  const TargetView* target = ChooseTarget(
      candidates, this->WishOf(oldest), this->now, [&](const TargetView& view) {
        const TargetId& id = view.record().id;
        return this->NeedsPermit(view) && this->IsUsable(view) &&
               !this->IsFull(view) && !oldest.Avoids(id, this->now) &&
               this->permits.OutstandingCount(id, this->now) == 0;
      });
  if (target == nullptr) {
    return;
  }
  this->Log(reasons::kWarmupRequest, oldest.arrival.caller_request_id,
            {{"target", target->record().id.value()},
             {"model", key.model ? key.model->ToString() : "-"},
             {"waiting", waiting},
             {"cold_ms", target->ColdRemaining(this->now)}});
  this->effects.emplace_back(this->permits.CreateRequest(
      this->settings.host, target->record().id, waiting - open, this->now));
}

void EntryCore::Take(const WarmupGrant& granted) {
  this->permits.OnGrant(granted);
  this->PumpAll();
}

// Targets that get work again after a pause may have become cold meanwhile.
void EntryCore::PresumeCold(const std::set<DataCentreId>& data_centres) {
  for (auto& [id, target] : this->targets) {
    if (data_centres.contains(target.record().data_centre)) {
      target.PresumeCold(this->now);
    }
  }
}

}  // namespace cicadaloft
