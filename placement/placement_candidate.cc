#include <algorithm>
#include <ranges>
#include <set>
#include <utility>
#include <vector>

#include "placement_core.h"

namespace cicadaloft {
namespace {

/// Loads from the weight store at once. More take longer in proportion; the
/// sheets say four, and no message tells.
constexpr std::uint32_t kStoreLoadsAtOnce = 4;

/// Requests that a target runs at once before another holder is worth a place,
/// as a part of its slots.
constexpr double kBusyPart = 0.6;

/// Costs of unloading, in seconds of waiting. A model that is asked for again
/// keeps its requests waiting for about this long.
constexpr double kWakeSeconds = 0.6;
/// The running requests delay the unload by about a run's length.
constexpr double kRunSeconds = 1.5;
/// What a model that has just fallen silent is worth beyond its rate, and the
/// time after which that is half.
constexpr std::chrono::duration<double> kFresh(4);
constexpr double kFreshCost = 0.5;
/// A request that is awaited loses more of its worth by a wake than batch work.
constexpr double kBatchWeight = 0.15;
/// Of several holders each is worth this part of a sole one.
constexpr double kSpareWeight = 0.05;

/// A target that can take an order so soon is waited for if it is the best; a
/// load from the weight store takes several times as long.
constexpr Duration kLongestRest = std::chrono::seconds(1);

/// A model that has just been loaded serves those that waited for it first.
constexpr Duration kServesFirst = std::chrono::milliseconds(1200);
constexpr double kServesFirstCost = 3;

/// What the only copy in a data centre is worth beyond another one, as a part
/// of its rate: a link between two of them may fail.
constexpr double kNearWeight = 0.08;

}  // namespace

// A load from the weight store takes several times as long as one from a copy,
// so that it is looked for only where no target with a copy will do.
std::optional<PlacementCore::Site> PlacementCore::FindSite(
    const ModelPath& path,
    const Want& want) {
  const Model* model = this->FindModel(want.service, path.model);
  const Engine* engine = this->FindEngine(want.service);
  std::optional<Site> best;
  if (want.chosen) {
    best = this->BestSite(std::set<TargetId>{*want.chosen}, *model, want);
  } else {
    best = this->BestSite(this->copies.Of(path.model), *model, want);
    if (!best && this->MayLoadFromStore(*engine)) {
      best = this->BestSite(this->books | std::views::keys, *model, want);
    }
  }
  // One that is free in a moment and has the weights at hand is waited for.
  const bool is_free = best && best->book->IsFree(this->now);
  return is_free ? best : std::nullopt;
}

template <typename Targets>
std::optional<PlacementCore::Site> PlacementCore::BestSite(
    const Targets& targets,
    const Model& model,
    const Want& want) {
  const Engine* engine = this->FindEngine(want.service);
  std::optional<Site> best;
  for (const TargetId& id : targets) {
    TargetBook& book = this->books.at(id);
    const std::chrono::duration<double> until_free = book.UntilFree(this->now);
    if (until_free > kLongestRest || book.record().service != want.service ||
        !this->IsUsable(book) || want.denied_by.contains(id) ||
        this->IsClaimed(id, want)) {
      continue;
    }
    auto site = this->SiteOn(book, model, *engine);
    if (!site) {
      continue;
    }
    site->cost += until_free.count();
    if (!best || site->cost < best->cost) {
      best = std::move(site);
    }
  }
  return best;
}

bool PlacementCore::MayLoadFromStore(const Engine& engine) {
  return this->StoreLoads() < kStoreLoadsAtOnce &&
         this->budget.CanAcquire(engine.store_loads_per_second, this->now);
}

std::optional<PlacementCore::Site> PlacementCore::SiteOn(TargetBook& book,
                                                         const Model& model,
                                                         const Engine& engine) {
  Site site{.book = &book, .source = book.SourceOf(model.id)};
  if (site.source == WeightSource::kStore && !this->MayLoadFromStore(engine)) {
    return std::nullopt;
  }
  const std::chrono::duration<double> load = LoadTime(model, site.source);
  site.cost = load.count();
  std::vector<std::pair<double, ModelPath>> bases;
  for (const ModelPath& held : book.held()) {
    if (!held.IsAdapter()) {
      bases.emplace_back(this->ValueOf(held, book), held);
    }
  }
  std::ranges::sort(bases);
  double used = this->UsedMb(book);
  for (const auto& [value, victim] : bases) {
    if (used + model.weights_mb <= engine.capacity_mb) {
      break;
    }
    const Model* known = this->FindModel(book.record().service, victim.model);
    used -= known == nullptr ? 0 : known->weights_mb;
    site.cost += value;
    site.victims.push_back(victim);
  }
  if (used + model.weights_mb > engine.capacity_mb) {
    return std::nullopt;
  }
  return site;
}

// What unloading the model from this target is expected to cost, in seconds.
double PlacementCore::ValueOf(const ModelPath& path,
                              const TargetBook& book) const {
  const ServiceId& service = book.record().service;
  const std::uint32_t holders = this->LoadedTargets(service, path);
  const double rate = this->history.RequestRate(path, this->now);
  const double running = this->history.RunningCount(path);
  const double urgency = kBatchWeight + this->history.UrgentFraction(path);
  const bool is_new = this->now < book.LoadedAt(path) + kServesFirst;
  const double wait =
      (running > 0 ? kRunSeconds : 0) + (is_new ? kServesFirstCost : 0);
  if (holders > 1) {
    const bool is_busy =
        running / (holders - 1) > book.record().slots * kBusyPart;
    const double near =
        this->IsFarCopy(path, book) ? rate * kNearWeight * urgency : 0;
    return wait / holders + rate * kSpareWeight + near +
           (is_busy ? rate * kWakeSeconds : 0);
  }
  // Demand that falls silent may come back; the longer ago, the less likely.
  const std::chrono::duration<double> age =
      this->now - this->history.LastUse(path);
  const double again = kFreshCost / (1 + age.count() / kFresh.count());
  return wait + (rate * kWakeSeconds + again) * urgency;
}

// Whether no other target of the data centre holds it.
bool PlacementCore::IsFarCopy(const ModelPath& path,
                              const TargetBook& book) const {
  return std::ranges::none_of(
      this->holders.Of(path), [&](const TargetId& target) {
        const TargetBook& other = this->books.at(target);
        return &other != &book && other.Holds(path) && this->IsUsable(other) &&
               other.record().data_centre == book.record().data_centre;
      });
}

}  // namespace cicadaloft
