#include "entry_demand.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/rendezvous.h"
#include "entry_requests.h"
#include "entry_targets.h"

namespace cicadaloft {
namespace {

/// Between reports of one path that waits and has changed.
constexpr Duration kWaitingInterval = std::chrono::milliseconds(50);

/// Between reports of one path that waits unchanged.
constexpr Duration kUnchangedInterval = std::chrono::milliseconds(500);

/// Between reports of one path that is served.
constexpr Duration kServedInterval = std::chrono::seconds(1);

/// An owner that has let this pass without any progress is cut off or dead.
constexpr Duration kOwnerPatience = std::chrono::seconds(2);

/// A notice without a time holds this long.
constexpr Duration kLeastNoticeTerm = std::chrono::seconds(1);

using Reports = std::map<HostId, std::vector<ModelDemand>>;

/// Data centres in service with targets for the path, its home first.
std::vector<DataCentreId> HomesOf(const EntryCore& core, const Path& path) {
  std::vector<DataCentreId> homes;
  const BackEndId* back_end = BackEndOf(core, path);
  const auto found = back_end == nullptr ? core.data_centres_of.end()
                                         : core.data_centres_of.find(*back_end);
  if (found == core.data_centres_of.end()) {
    return homes;
  }
  std::ranges::copy_if(
      found->second, std::back_inserter(homes), [&](const DataCentreId& id) {
        const auto* item = core.ledger.config().Find<DataCentre>(id.value());
        return item != nullptr && item->state == DataCentreState::kInService;
      });
  const std::string& model = std::get<ModelId>(path.key).value();
  std::ranges::sort(homes, std::greater<>{}, [&](const DataCentreId& id) {
    return std::pair(RendezvousWeight(model, id.value()), id);
  });
  return homes;
}

/// @return the data centres whose owners are to hear of the path now: its home,
/// or after a time without progress the next one and the own one.
std::set<DataCentreId> AskedOf(const EntryCore& core, const Path& path) {
  const std::vector<DataCentreId> homes = HomesOf(core, path);
  std::set<DataCentreId> asked;
  if (homes.empty()) {
    return asked;
  }
  const Duration unanswered = path.demand.unanswered_since.has_value()
                                  ? core.now - *path.demand.unanswered_since
                                  : Duration{};
  const auto step = static_cast<std::size_t>(unanswered / kOwnerPatience);
  asked.insert(homes[std::min(step, homes.size() - 1)]);
  const bool has_own =
      std::ranges::find(homes, core.settings.data_centre) != homes.end();
  if (step > 0 && has_own) {
    asked.insert(core.settings.data_centre);
  }
  return asked;
}

Duration OldestWait(const EntryCore& core, const Path& path) {
  const auto oldest = path.queue.Oldest();
  return oldest.has_value() ? core.now - (*oldest)->arrived_at : Duration{};
}

bool IsServed(const Path& path) {
  return path.WaitingCount() == 0;
}

bool IsDue(const EntryCore& core, const Path& path) {
  const Duration passed = core.now - path.demand.reported;
  if (IsServed(path)) {
    return path.demand.has_changed && passed >= kServedInterval;
  }
  return passed >=
         (path.demand.has_changed ? kWaitingInterval : kUnchangedInterval);
}

void Report(EntryCore& core, Path& path, Reports& reports) {
  const auto* model = std::get_if<ModelId>(&path.key);
  PathDemand& demand = path.demand;
  if (IsServed(path)) {
    demand.unanswered_since.reset();
  } else if (!demand.unanswered_since.has_value()) {
    demand.unanswered_since = core.now;
  }
  const ModelDemand report{
      .model = *model,
      .waiting_interactive = static_cast<std::uint32_t>(
          path.queue.lane(false).size() + path.held.size()),
      .waiting_batch = static_cast<std::uint32_t>(path.queue.lane(true).size()),
      .running = demand.running,
      .arrived = demand.arrived,
      .oldest_wait = OldestWait(core, path)};
  std::ranges::for_each(AskedOf(core, path), [&](const DataCentreId& id) {
    const DutyHolder* holder = core.ledger.members().FindDuty(
        DutyId{.kind = DutyKind::kPlacement, .data_centre = id});
    if (holder != nullptr) {
      reports[holder->owner.host].push_back(report);
    }
  });
  demand.arrived = 0;
  demand.has_changed = false;
  demand.reported = core.now;
}

void SendReports(EntryCore& core, const Reports& reports) {
  std::ranges::for_each(reports, [&](const auto& entry) {
    core.Send(
        entry.first == core.settings.host ? HostId() : entry.first,
        DemandReport{.host = core.settings.host, .demands = entry.second});
  });
}

bool IsModel(const Path& path) {
  return std::holds_alternative<ModelId>(path.key);
}

}  // namespace

void NoteDemand(EntryCore& core, Path& path) {
  if (IsModel(path)) {
    path.demand.has_changed = true;
    core.demanding_paths.emplace(path.number, &path);
  }
}

void NoteArrival(EntryCore& core, Path& path) {
  if (!IsModel(path)) {
    return;
  }
  ++path.demand.arrived;
  NoteDemand(core, path);
  const bool is_cold =
      path.WaitingCount() > 0 && path.local.empty() && path.regional.empty();
  if (is_cold && core.now - path.demand.reported >= kWaitingInterval) {
    Reports reports;
    Report(core, path, reports);
    SendReports(core, reports);
  }
}

void ReportDemand(EntryCore& core) {
  if (core.now - core.demand_checked < kWaitingInterval) {
    return;
  }
  core.demand_checked = core.now;
  Reports reports;
  std::erase_if(core.demanding_paths, [&](const auto& entry) {
    Path& path = *entry.second;
    if (IsDue(core, path)) {
      Report(core, path, reports);
    }
    return IsServed(path) && !path.demand.has_changed;
  });
  SendReports(core, reports);
}

void OnNoCapacity(EntryCore& core, const NoCapacityNotice& notice) {
  const auto found = core.paths.find(PathKey(notice.model));
  if (found == core.paths.end()) {
    return;
  }
  Path& path = found->second;
  path.demand.unanswered_since = core.now;
  path.demand.no_capacity_until =
      core.now + std::max(notice.retry_after, kLeastNoticeTerm);
  const std::vector<OpenRequest*> waiting = path.queue.Items();
  std::ranges::for_each(waiting, [&](OpenRequest* request) {
    if (request->deadline <= core.now + notice.retry_after) {
      RefuseOpen(core, *request,
                 Fail(ErrorKind::kNoCapacity, "the model can't be loaded now"),
                 RunState::kNotRun, notice.retry_after);
    }
  });
}

}  // namespace cicadaloft
