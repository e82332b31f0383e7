#include "cicadaloft/placement/load_queue.h"

#include <algorithm>
#include <ranges>

namespace cicadaloft {
namespace {

constexpr Duration kDemandTime = std::chrono::seconds(3);
/// A waiting interactive request counts as this many waiting batch ones.
constexpr double kInteractiveWeight = 16;
/// Added to each wait, so that a new one counts, too; in seconds.
constexpr double kMinWait = 0.1;

std::uint32_t WaitingOf(const ModelDemand& demand) {
  return demand.waiting_interactive + demand.waiting_batch;
}

bool IsUse(const ModelDemand& demand) {
  return WaitingOf(demand) + demand.running + demand.arrived > 0;
}

}  // namespace

void LoadQueue::Take(const HostId& host,
                     const std::vector<ModelDemand>& demands,
                     TimePoint now) {
  std::ranges::for_each(demands, [&](const ModelDemand& demand) {
    auto& hosts = this->models[demand.model];
    hosts.erase(host);
    if (IsUse(demand)) {
      hosts.emplace(host, Told{.demand = demand, .at = now});
    }
  });
}

void LoadQueue::Expire(TimePoint now) {
  std::ranges::for_each(this->models | std::views::values, [&](auto& hosts) {
    std::erase_if(hosts, [&](const auto& told) {
      return now - told.second.at >= kDemandTime;
    });
  });
  std::erase_if(this->models,
                [](const auto& entry) { return entry.second.empty(); });
}

std::vector<ModelWanted> LoadQueue::Waiting(TimePoint now) const {
  std::vector<ModelWanted> waiting;
  std::ranges::for_each(this->models, [&](const auto& entry) {
    std::uint32_t interactive = 0;
    std::uint32_t batch = 0;
    Duration oldest{};
    std::vector<HostId> hosts;
    std::ranges::for_each(entry.second, [&](const auto& host) {
      const Told& told = host.second;
      if (WaitingOf(told.demand) == 0) {
        return;
      }
      interactive += told.demand.waiting_interactive;
      batch += told.demand.waiting_batch;
      oldest = std::max(oldest, told.demand.oldest_wait + (now - told.at));
      hosts.push_back(host.first);
    });
    if (!hosts.empty()) {
      waiting.push_back(ModelWanted{.model = entry.first,
                                    .interactive = interactive,
                                    .batch = batch,
                                    .oldest_wait = oldest,
                                    .hosts = std::move(hosts)});
    }
  });
  return waiting;
}

bool LoadQueue::IsInUse(const ModelId& model) const {
  const auto found = this->models.find(model);
  return found != this->models.end() && !found->second.empty();
}

double WaitSaved(const ModelWanted& wanted, double load_cost) {
  const double weight = kInteractiveWeight * wanted.interactive +
                        static_cast<double>(wanted.batch);
  const double wait =
      std::chrono::duration<double>(wanted.oldest_wait).count() + kMinWait;
  return weight * wait / std::max(load_cost, 1.0);
}

}  // namespace cicadaloft
