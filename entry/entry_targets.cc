#include "entry_targets.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "entry_dispatch.h"
#include "entry_suspects.h"

namespace cicadaloft {
namespace {

/// @return hosts of the own data centre in one allocation.
std::vector<HostId> MatesIn(const EntryCore& core,
                            const Allocation& allocation) {
  std::vector<HostId> hosts;
  std::ranges::copy_if(allocation.fractions | std::views::keys,
                       std::back_inserter(hosts), [&](const HostId& host) {
                         const auto* info = core.ledger.members().Find(host);
                         return info != nullptr &&
                                info->data_centre == core.settings.data_centre;
                       });
  return hosts;
}

/// As for rates, the smallest part in all allocations that may be in use
/// somewhere: so the parts add up to the cap whatever each host has read.
RampBounds BoundsOf(const EntryCore& core,
                    const std::vector<std::vector<HostId>>& splits,
                    const Target& target) {
  const auto* back_end =
      core.ledger.config().Find<BackEnd>(target.back_end.value());
  if (back_end == nullptr || splits.empty() ||
      target.data_centre != core.settings.data_centre) {
    return RampBounds{};
  }
  const auto smallest_part = [&](std::uint32_t total) {
    return std::ranges::min(
        splits | std::views::transform([&](const std::vector<HostId>& hosts) {
          return PartOf(total, target.id, hosts, core.settings.host);
        }));
  };
  const std::uint32_t initial =
      std::min(back_end->initial_concurrency, target.max_concurrency);
  return RampBounds{.initial = smallest_part(initial),
                    .most = smallest_part(target.max_concurrency)};
}

bool IsLoaded(const EntryCore& core,
              const ModelId& model,
              const TargetView& view) {
  const TargetMemory& memory = core.ledger.placements().MemoryOf(view.id());
  const auto held = memory.reservations.find(model);
  if (held == memory.reservations.end() || memory.instance != view.instance()) {
    return false;
  }
  const std::optional<LoadHint> hint = view.HintOf(model);
  switch (held->second.state) {
    case ReservationState::kLoaded:
      return hint != LoadHint::kNotLoaded;
    case ReservationState::kLoading:
      return hint == LoadHint::kLoaded;
    default:
      return false;
  }
}

bool IsInRegion(const EntryCore& core, const Target& target) {
  const Config& config = core.ledger.config();
  const auto* own = config.Find<DataCentre>(core.settings.data_centre.value());
  const auto* other = config.Find<DataCentre>(target.data_centre.value());
  return own != nullptr && other != nullptr && own->region == other->region;
}

void AddTarget(EntryCore& core, Path& path, TargetView& view) {
  if (view.item() == nullptr ||
      !TakesNewWork(core.ledger.config(), *view.item())) {
    return;
  }
  if (view.item()->data_centre == core.settings.data_centre) {
    path.local.push_back(&view);
  } else if (IsInRegion(core, *view.item())) {
    path.regional.push_back(&view);
  }
}

void FindReplicas(EntryCore& core, Path& path, const ModelId& model) {
  std::ranges::for_each(
      core.ledger.placements().HoldersOf(model), [&](const TargetId& target) {
        const auto view = core.targets.find(target);
        if (view != core.targets.end() && IsLoaded(core, model, view->second)) {
          AddTarget(core, path, view->second);
        }
      });
}

}  // namespace

const BackEndId* BackEndOf(const EntryCore& core, const Path& path) {
  const Config& config = core.ledger.config();
  if (const auto* model = std::get_if<ModelId>(&path.key)) {
    const auto* route = config.Find<ModelRoute>(model->value());
    return route == nullptr ? nullptr : &route->back_end;
  }
  const auto* route =
      config.Find<PlainRoute>(std::get<RouteId>(path.key).value());
  return route == nullptr ? nullptr : &route->back_end;
}

void SyncTargets(EntryCore& core) {
  std::vector<std::vector<HostId>> splits;
  std::ranges::transform(core.ledger.shares().allocations(),
                         std::back_inserter(splits),
                         [&](const Allocation& a) { return MatesIn(core, a); });
  const auto& items = core.ledger.config().All<Target>();
  core.targets_of.clear();
  core.data_centres_of.clear();
  std::ranges::for_each(items | std::views::values, [&](const auto& item) {
    TargetView& view =
        core.targets.try_emplace(item->id, item->id).first->second;
    view.Configure(item, BoundsOf(core, splits, *item));
    core.targets_of[item->back_end].push_back(&view);
    core.data_centres_of[item->back_end].insert(item->data_centre);
    SyncInstance(core, item->id);
  });
  std::ranges::for_each(core.targets | std::views::values, [&](auto& view) {
    if (!items.contains(view.id().value())) {
      view.Configure(nullptr, RampBounds{});
    }
  });
}

void SyncInstance(EntryCore& core, const TargetId& target) {
  const auto view = core.targets.find(target);
  if (view != core.targets.end()) {
    const TargetInstance instance =
        core.ledger.placements().MemoryOf(target).instance;
    view->second.OnInstance(instance);
    NoteTargetDied(core, target, instance);
  }
}

void RefreshTargets(EntryCore& core, Path& path) {
  if (path.version == core.routing_version) {
    return;
  }
  Unregister(core, path);
  path.version = core.routing_version;
  path.local.clear();
  path.regional.clear();
  if (const auto* model = std::get_if<ModelId>(&path.key)) {
    FindReplicas(core, path, *model);
    return;
  }
  const BackEndId* back_end = BackEndOf(core, path);
  if (back_end == nullptr) {
    return;
  }
  std::ranges::for_each(core.targets_of[*back_end], [&](TargetView* view) {
    AddTarget(core, path, *view);
  });
}

void MarkStale(EntryCore& core, const ModelId& model) {
  const auto found = core.paths.find(PathKey(model));
  if (found != core.paths.end()) {
    Unregister(core, found->second);
    found->second.version = kStaleVersion;
  }
}

void OnTargetNews(EntryCore& core, const TargetReport& report) {
  const auto found = core.targets.find(report.target);
  const TargetInstance before =
      found == core.targets.end() ? TargetInstance() : found->second.instance();
  if (found == core.targets.end() ||
      !found->second.OnReport(report, core.now)) {
    return;
  }
  NoteTargetDied(core, report.target, report.instance);
  TargetView& view = found->second;
  const TargetMemory& memory = core.ledger.placements().MemoryOf(report.target);
  std::ranges::for_each(
      memory.reservations | std::views::keys, [&](const ModelId& model) {
        const bool is_loaded =
            std::ranges::any_of(report.models, [&](const ReportedModel& m) {
              return m.model == model && m.loaded;
            });
        const bool is_news =
            view.SetHint(
                model, is_loaded ? LoadHint::kLoaded : LoadHint::kNotLoaded) ||
            view.instance() != before;
        if (is_news) {
          MarkStale(core, model);
          PumpModel(core, model);
        }
      });
}

}  // namespace cicadaloft
