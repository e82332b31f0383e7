#include "placement_core.h"

#include <algorithm>
#include <ranges>

namespace cicadaloft {
namespace {

/// An adapter is there after this time: 5 to 10 ms from the store by the
/// sheets, and the way.
constexpr Duration kAdapterTime = std::chrono::milliseconds(14);

}  // namespace

std::string_view ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kAlready:
      return "already";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kOtherInstance:
      return "other_instance";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

void PlacementCore::Take(const PlacementStarted& begins) {
  this->token = begins.token;
  if (begins.is_state_current) {
    return;
  }
  this->budget.Reset(this->now);
  this->wants.clear();
  for (auto& [id, book] : this->books) {
    book.OnUnclear(this->now);
    book.Doubt(this->now);
    this->Index(book);
  }
  this->Plan();
}

void PlacementCore::Take(const PlacementStopped&) {
  this->token = FencingToken();
}

void PlacementCore::Take(const ConfigurationChanged& change) {
  const bool is_older =
      this->configuration != nullptr &&
      change.configuration->version() < this->configuration->version();
  if (!is_older) {
    this->configuration = change.configuration;
  }
}

void PlacementCore::Take(const EvacuationsChanged& change) {
  this->evacuated = change.data_centres;
}

void PlacementCore::Take(const FleetChanged& change) {
  this->fleet = change.fleet;
  for (const auto& [id, record] : this->fleet->targets) {
    const auto [place, is_new] = this->books.try_emplace(id, record);
    TargetBook& book = place->second;
    if (is_new || book.told_record() != record) {
      book.OnRecord(record, this->now);
      this->Index(book);
    }
  }
  std::erase_if(this->books, [this](const auto& entry) {
    const bool is_gone = !this->fleet->targets.contains(entry.first);
    if (is_gone) {
      this->holders.Remove(entry.first);
      this->copies.Remove(entry.first);
    }
    return is_gone;
  });
}

void PlacementCore::Index(const TargetBook& book) {
  this->holders.Set(book.record().id, book.HeldOrOrdered());
  this->copies.Set(book.record().id, book.Copies());
}

void PlacementCore::Take(const HostModelLoadRequest& asked) {
  const ModelLoadRequest& wanted = asked.request;
  this->history.RecordRequest(wanted.path, this->now);
  if (this->token == FencingToken()) {
    return;
  }
  Want& want = this->wants[wanted.path];
  const bool is_new = want.asked_at == TimePoint{};
  want.service = wanted.service;
  want.latency_objective =
      is_new ? wanted.latency_objective
             : std::min(want.latency_objective, wanted.latency_objective);
  want.asked_at = this->now;
  want.first_asked = is_new ? this->now : want.first_asked;
  want.asked_by.insert(asked.host);
  for (const TargetId& target : wanted.denied_by) {
    const auto found = this->books.find(target);
    const bool is_believed = found != this->books.end() &&
                             found->second.Holds(wanted.path) &&
                             !found->second.loading();
    if (is_believed) {
      want.denied_by.insert(target);
    }
    if (is_believed && found->second.IsFree(this->now)) {
      // The books are wrong, or it has died: nothing is ordered there before
      // its report.
      found->second.Doubt(this->now);
    }
  }
  this->ServeInOrder({wanted.path});
}

void PlacementCore::Take(const ModelUsageReport& report) {
  this->history.Add(report, this->now);
}

void PlacementCore::Take(const OrderEnded& ended) {
  const auto found = this->books.find(ended.target);
  if (found == this->books.end() || !found->second.pending()) {
    return;
  }
  TargetBook& book = found->second;
  const SendOrder order = *book.pending();
  this->Log("place.order_ended",
            {{"target", ended.target.value()},
             {"path", order.path.ToString()},
             {"kind", order.kind == OrderKind::kLoad ? "load" : "unload"},
             {"expect", order.expected_sequence.value()},
             {"outcome", ToString(ended.outcome)}});
  this->NoteOutcome(book, order, ended.outcome);
  if (!book.IsKnown()) {
    this->LeaveSite(ended.target);
  }
  const bool is_kept = order.kind == OrderKind::kUnload &&
                       ended.outcome != OrderOutcome::kAccepted &&
                       ended.outcome != OrderOutcome::kAlready &&
                       ended.outcome != OrderOutcome::kNoAnswer;
  if (is_kept) {
    // Hosts have been told that it goes.
    this->Tell(book, order.path, true, Duration::zero(),
               this->ConcernedBy(order.path));
  }
  this->Index(book);
  this->ServeAfterOrder(ended.target);
}

// Enters in the book what the target has answered, and tells hosts of it.
void PlacementCore::NoteOutcome(TargetBook& book,
                                const SendOrder& order,
                                OrderOutcome outcome) {
  const bool is_load = order.kind == OrderKind::kLoad;
  const Model* model = this->FindModel(book.record().service, order.path.model);
  const WeightSource source = book.SourceOf(order.path.model);
  const Duration ready_in = !is_load || model == nullptr ? Duration::zero()
                            : order.path.IsAdapter()     ? kAdapterTime
                                                     : LoadTime(*model, source);
  switch (outcome) {
    case OrderOutcome::kAccepted:
      book.OnAccepted(source, ready_in, this->now);
      this->Tell(book, order.path, is_load, ready_in,
                 this->ConcernedBy(order.path));
      if (is_load) {
        this->wants.erase(order.path);
      }
      break;
    case OrderOutcome::kAlready:
      // An adapter that nobody uses is unloaded at once, which counts as an
      // order; what held before does not.
      if (!is_load && order.path.IsAdapter()) {
        book.OnAccepted(source, ready_in, this->now);
      } else {
        book.OnAlready(this->now);
      }
      this->Tell(book, order.path, is_load, Duration::zero(),
                 this->ConcernedBy(order.path));
      break;
    case OrderOutcome::kNoAnswer:
      book.OnNoAnswer(this->now);
      break;
    case OrderOutcome::kNotSent:
      // It may be dead, and would refuse the connection again at once.
    case OrderOutcome::kRejected:
    case OrderOutcome::kOtherInstance:
      book.OnUnclear(this->now);
      break;
    case OrderOutcome::kConflict:
      book.OnConflict(this->now);
      break;
  }
}

void PlacementCore::Take(const TargetReportReceived& read) {
  const auto found = this->books.find(read.target);
  if (found == this->books.end()) {
    return;
  }
  TargetBook& book = found->second;
  this->Log("place.report", {{"target", read.target.value()},
                             {"sequence", read.report.sequence.value()},
                             {"known_sequence", book.sequence().value()},
                             {"instance", read.report.instance.value()},
                             {"known_instance", book.record().instance.value()},
                             {"is_busy", read.report.is_busy ? "yes" : "no"},
                             {"loaded", read.report.loaded.size()}});
  book.OnReport(read.report, this->now);
  this->Index(book);
}

void PlacementCore::Take(const TargetReportFailed& failed) {
  this->Log("place.report_failed",
            {{"target", failed.target.value()}, {"why", failed.reason}});
}

void PlacementCore::Take(const PlacementTick&) {
  for (auto& [id, book] : this->books) {
    book.Tick(this->now);
  }
  this->history.DropExpired(this->now);
  this->Plan();
}

// Wants for which room was being made there look for another target.
void PlacementCore::LeaveSite(const TargetId& target) {
  for (auto& [path, want] : this->wants) {
    if (want.chosen == target) {
      want.chosen.reset();
    }
  }
}

const Engine* PlacementCore::FindEngine(const ServiceId& service) const {
  const Service* found =
      this->configuration ? this->configuration->FindService(service) : nullptr;
  return found != nullptr && found->engine ? &*found->engine : nullptr;
}

const Model* PlacementCore::FindModel(const ServiceId& service,
                                      const ModelId& model) const {
  return this->configuration ? this->configuration->FindModel(service, model)
                             : nullptr;
}

bool PlacementCore::IsUsable(const TargetBook& book) const {
  const TargetRecord& record = book.record();
  return !record.is_draining && !this->evacuated.contains(record.data_centre);
}

std::uint32_t PlacementCore::LoadedTargets(const ServiceId& service,
                                           const ModelPath& path) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      this->holders.Of(path), [&](const TargetId& target) {
        const TargetBook& book = this->books.at(target);
        return book.record().service == service && this->IsUsable(book);
      }));
}

double PlacementCore::UsedMb(const TargetBook& book) const {
  double used = 0;
  for (const ModelPath& path : book.held()) {
    const Model* model = this->FindModel(book.record().service, path.model);
    if (model != nullptr) {
      used += path.IsAdapter() ? model->adapter_mb : model->weights_mb;
    }
  }
  return used;
}

std::uint32_t PlacementCore::AdaptersOn(const TargetBook& book) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(book.held(), &ModelPath::IsAdapter));
}

Duration PlacementCore::LoadTime(const Model& model, WeightSource source) {
  /// For the order's way and the end of the load.
  constexpr Duration kMargin = std::chrono::milliseconds(15);
  switch (source) {
    case WeightSource::kMemory:
      return model.memory_load_time + kMargin;
    case WeightSource::kDisk:
      return model.disk_load_time + kMargin;
    case WeightSource::kStore:
      return model.store_load_time + kMargin;
  }
  return model.store_load_time + kMargin;
}

std::uint32_t PlacementCore::StoreLoads() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(this->books, [](const auto& entry) {
        const auto& loading = entry.second.loading();
        return loading && loading->source == WeightSource::kStore;
      }));
}

void PlacementCore::Order(TargetBook& book,
                          OrderKind kind,
                          const ModelPath& path,
                          const char* reason) {
  const SendOrder order{.target = book.record().id,
                        .address = book.record().address,
                        .kind = kind,
                        .path = path,
                        .expected_sequence = book.sequence(),
                        .token = this->token};
  this->Log(reason,
            {{"target", order.target.value()},
             {"path", path.ToString()},
             {"expect", order.expected_sequence.value()},
             {"token", order.token.value()},
             {"used_mb", static_cast<std::int64_t>(this->UsedMb(book))},
             {"holders", this->LoadedTargets(book.record().service, path)}});
  book.OnOrderSent(order);
  this->Index(book);
  this->effects.emplace_back(order);
  if (kind == OrderKind::kUnload) {
    // Nobody should send there while the runs before the unload finish.
    this->Tell(book, path, false, Duration::zero(), this->ConcernedBy(path));
  }
}

std::set<HostId> PlacementCore::ConcernedBy(const ModelPath& path) const {
  std::set<HostId> hosts = this->history.HostsUsing(path, this->now);
  const auto want = this->wants.find(path);
  if (want != this->wants.end()) {
    hosts.insert(want->second.asked_by.begin(), want->second.asked_by.end());
  }
  return hosts;
}

void PlacementCore::Tell(const TargetBook& book,
                         const ModelPath& path,
                         bool is_load,
                         Duration ready_in,
                         std::set<HostId> hosts) {
  this->effects.emplace_back(
      SendPlacementChange{.change = {.target = book.record().id,
                                     .instance = book.record().instance,
                                     .path = path,
                                     .is_load = is_load,
                                     .ready_in = ready_in},
                          .hosts = std::move(hosts)});
}

void PlacementCore::Log(const char* reason, std::vector<LogField> fields) {
  this->effects.emplace_back(
      DecisionRecord{.event = reason, .fields = std::move(fields)});
}

}  // namespace cicadaloft
