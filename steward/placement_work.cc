#include "placement_work.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <variant>

#include "cicadaloft/core/control_reasons.h"
#include "demand_route.h"
#include "mirror_work.h"

namespace cicadaloft {
namespace {

constexpr Duration kNoCapacityRetry = std::chrono::seconds(5);

/// Between two messages on targets' loads, on the average: a node may spend 6
/// KB a second on control. Changes of models go at once.
constexpr Duration kLoadNewsSpacing = std::chrono::milliseconds(50);

ModelDemand WithoutWaiting(const ModelDemand& demand) {
  return ModelDemand{.model = demand.model,
                     .running = demand.running,
                     .arrived = demand.arrived};
}

bool CanReach(const StewardParts& parts, const HostId& host) {
  return host == parts.self().host ||
         parts.links
             .Route(Envelope{.from = parts.self().host,
                             .to = host,
                             .message = DemandReport{}})
             .has_value();
}

/// @return the owner of the first of these data centres that can be reached.
std::optional<HostId> FirstOwner(const StewardParts& parts,
                                 const std::vector<DataCentreId>& order) {
  std::optional<HostId> owner;
  std::ranges::find_if(order, [&](const DataCentreId& place) {
    owner = PlacementOwnerOf(parts.ledger(), place);
    if (owner.has_value() && !CanReach(parts, *owner)) {
      owner.reset();
    }
    return owner.has_value();
  });
  return owner;
}

/// Passes what finds no room here on, or tells the hosts that wait for it.
void TakeMissingCapacity(StewardParts& parts, const ModelWanted& wanted) {
  const std::vector<DataCentreId> order =
      PlacementOrderOf(parts.ledger(), wanted.model);
  const auto own = std::ranges::find(order, parts.settings.data_centre);
  const std::vector<DataCentreId> rest(
      own == order.end() ? order.begin() : std::next(own), order.end());
  const std::optional<HostId> next =
      own == order.end() ? std::nullopt : FirstOwner(parts, rest);
  const auto hosts = static_cast<std::uint32_t>(wanted.hosts.size());
  const auto part = [&](std::uint32_t count) {
    return (count + hosts - 1) / hosts;
  };
  std::ranges::for_each(wanted.hosts, [&](const HostId& host) {
    if (next.has_value()) {
      parts.Send(*next, DemandReport{
                            .host = host,
                            .demands = {ModelDemand{
                                .model = wanted.model,
                                .waiting_interactive = part(wanted.interactive),
                                .waiting_batch = part(wanted.batch),
                                .oldest_wait = wanted.oldest_wait}}});
      return;
    }
    const NoCapacityNotice notice{.model = wanted.model,
                                  .retry_after = kNoCapacityRetry};
    if (host == parts.self().host) {
      parts.SendToEntry(notice);
    } else {
      parts.Send(host, notice);
    }
  });
  if (next.has_value()) {
    parts.Explain(reasons::kPassedOn,
                  "model=" + wanted.model.value() + " owner=" + next->value());
  }
}

void SendOrderTo(StewardParts& parts, const OrderWanted& wanted) {
  const Config& config = parts.ledger().config();
  const PlacementRecord& record = wanted.record;
  const auto* target = config.Find<Target>(record.target.value());
  const auto* route = config.Find<ModelRoute>(record.model.value());
  parts.Emit(OrderTarget{.order = wanted.order,
                         .target = record.target,
                         .address = target->address,
                         .model = record.model,
                         .base = route == nullptr ? std::nullopt : route->base,
                         .memory_mib = route == nullptr ? 0 : route->memory_mib,
                         .action = record.action,
                         .instance = record.instance,
                         .token = wanted.token});
}

void SendNews(StewardParts& parts, const NewsWanted& wanted) {
  const TargetNews news{.report = wanted.report};
  parts.SendToEntry(news);
  const bool is_for_all = wanted.reach == NewsReach::kAll;
  if (!is_for_all && parts.now < parts.next_load_news) {
    return;
  }
  std::int64_t sent = 0;
  std::ranges::for_each(parts.links.peers_up(), [&](const HostId& peer) {
    const bool is_mate =
        parts.links.DataCentreOf(peer) == parts.settings.data_centre;
    if (is_mate || is_for_all) {
      parts.Send(peer, news);
      ++sent;
    }
  });
  parts.next_load_news = parts.now + sent * kLoadNewsSpacing;
}

void SendPoll(StewardParts& parts, const PollWanted& wanted) {
  const auto* target =
      parts.ledger().config().Find<Target>(wanted.target.value());
  parts.Emit(PollTarget{.target = wanted.target, .address = target->address});
}

void CarryOutEffects(StewardParts& parts) {
  std::ranges::for_each(
      parts.placement.TakeEffects(), [&](const PlacementEffect& effect) {
        std::visit(
            Overloaded{
                [&](const PollWanted& wanted) { SendPoll(parts, wanted); },
                [&](const OrderWanted& wanted) { SendOrderTo(parts, wanted); },
                [&](const MirrorWanted& wanted) {
                  TellMates(parts, wanted.sequence);
                },
                [&](const NewsWanted& wanted) { SendNews(parts, wanted); },
                [&](const CapacityMissing& missing) {
                  TakeMissingCapacity(parts, missing.wanted);
                },
                [&](const DecisionLine& line) { parts.Emit(line); },
            },
            effect);
      });
}

}  // namespace

PlacementView ViewOfPlacement(StewardParts& parts) {
  const DutyId duty{.kind = DutyKind::kPlacement,
                    .data_centre = parts.settings.data_centre};
  const Ledger& ledger = parts.ledger();
  const bool is_owner = ledger.members().Owns(parts.self(), duty);
  const std::optional<FencingToken> token =
      is_owner
          ? std::optional<FencingToken>(ledger.members().FindDuty(duty)->token)
          : std::nullopt;
  const bool has_mirrors =
      parts.collector.IsCollected(duty) ||
      parts.collector.Age(duty, parts.now) >= parts.settings.order_term;
  return PlacementView{
      .config = ledger.config(),
      .folded = ledger.placements(),
      .token = token,
      .may_order = is_owner && has_mirrors && parts.MayUseRights(),
      .was_handed_over = is_owner && parts.given_up.contains(*token),
      .is_outage = parts.IsOutage(),
      .is_stopping = parts.IsStopping() || parts.handovers.contains(duty),
      .data_centres = CountDataCentres(ledger),
      .now = parts.now,
      .submit = [&parts](const PlacementBody& body) {
        return std::visit(
            [&](const auto& record) { return parts.writer.Submit(record); },
            body);
      }};
}

void RouteDemands(StewardParts& parts, const DemandReport& report) {
  std::map<HostId, std::vector<ModelDemand>> by_owner;
  std::ranges::for_each(report.demands, [&](const ModelDemand& demand) {
    const std::optional<HostId> first =
        FirstOwner(parts, PlacementOrderOf(parts.ledger(), demand.model));
    if (first.has_value()) {
      by_owner[*first].push_back(demand);
    }
    std::ranges::for_each(
        HoldingDataCentres(parts.ledger(), demand.model),
        [&](const DataCentreId& place) {
          const auto owner = PlacementOwnerOf(parts.ledger(), place);
          if (owner.has_value() && owner != first) {
            by_owner[*owner].push_back(WithoutWaiting(demand));
          }
        });
  });
  std::ranges::for_each(by_owner, [&](const auto& entry) {
    const DemandReport part{.host = report.host, .demands = entry.second};
    if (entry.first == parts.self().host) {
      TakeDemands(parts, part);
    } else {
      parts.Send(entry.first, part);
    }
  });
}

void TakeDemands(StewardParts& parts, const DemandReport& report) {
  std::vector<ModelDemand> taken;
  std::ranges::transform(report.demands, std::back_inserter(taken),
                         [&](const ModelDemand& demand) {
                           const bool may_load =
                               !parts.IsOutage() ||
                               MayLoadCutOff(parts.ledger(), demand.model,
                                             parts.settings.data_centre);
                           return may_load ? demand : WithoutWaiting(demand);
                         });
  parts.placement.TakeDemand(report.host, taken, parts.now);
}

void TakeTargetReport(StewardParts& parts, const TargetReported& event) {
  parts.placement.TakeReport(ViewOfPlacement(parts), event.report);
}

void TakeOrderEnd(StewardParts& parts, const OrderEnded& event) {
  parts.placement.TakeOrderEnd(ViewOfPlacement(parts), event.order,
                               event.outcome);
}

void WorkOnPlacement(StewardParts& parts) {
  parts.placement.Work(ViewOfPlacement(parts));
  CarryOutEffects(parts);
}

}  // namespace cicadaloft
