#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <string>

#include "placement_core.h"

namespace cicadaloft {
namespace {

/// A want that is not repeated is over: hosts repeat theirs each 400 ms while
/// requests wait.
constexpr Duration kWantTerm = std::chrono::milliseconds(1300);

/// Free room is filled this often, one model a target at a time.
constexpr Duration kFillInterval = std::chrono::milliseconds(200);
/// A model with fewer requests a second and holder gets no further holder.
constexpr double kSpareRate = 0.5;

/// Between two lines on what is wanted and not placed yet.
constexpr Duration kLogInterval = std::chrono::seconds(1);

/// Batch work may wait for a place: while room is made, a place serves nobody,
/// and too many at once leave too few: at most this part of the targets.
constexpr Duration kPatientAim = std::chrono::seconds(1);
constexpr double kMostPatientSwaps = 1.0 / 3;

/// Memory kept for adapters on each target, as a number of them.
constexpr double kAdapterReserve = 4;

}  // namespace

void PlacementCore::Plan() {
  if (this->token == FencingToken() || !this->configuration) {
    return;
  }
  this->AskReports();
  this->DropOldWants();
  std::vector<ModelPath> paths;
  std::ranges::copy(this->wants | std::views::keys, std::back_inserter(paths));
  this->ServeInOrder(paths);
  this->LogWaiting();
  this->FillFreeRoom();
}

void PlacementCore::DropOldWants() {
  std::erase_if(this->wants, [this](const auto& entry) {
    return this->now - entry.second.asked_at > kWantTerm;
  });
}

// What is due first goes first.
void PlacementCore::ServeInOrder(const std::vector<ModelPath>& paths) {
  if (this->token == FencingToken() || !this->configuration) {
    return;
  }
  std::vector<std::pair<TimePoint, ModelPath>> order;
  order.reserve(paths.size());
  for (const ModelPath& path : paths) {
    const Want& want = this->wants.at(path);
    order.emplace_back(want.first_asked + want.latency_objective, path);
  }
  std::ranges::sort(order);
  for (const auto& [due, path] : order) {
    if (this->Serve(path, this->wants.at(path))) {
      this->wants.erase(path);
    }
  }
}

// An order has ended: those for whom it was given go on at once.
void PlacementCore::ServeAfterOrder(const TargetId& target) {
  std::vector<ModelPath> paths;
  for (const auto& [path, want] : this->wants) {
    if (want.ordered_on == target) {
      paths.push_back(path);
    }
  }
  this->ServeInOrder(paths);
}

void PlacementCore::LogWaiting() {
  if (this->wants.empty() || this->now - this->waiting_logged < kLogInterval) {
    return;
  }
  this->waiting_logged = this->now;
  const auto oldest =
      std::ranges::min(this->wants | std::views::values, {}, &Want::first_asked)
          .first_asked;
  const auto count = [this](auto is_so) {
    return std::ranges::count_if(this->books | std::views::values, is_so);
  };
  this->Log("place.waiting",
            {{"wanted", this->wants.size()},
             {"oldest_ms", this->now - oldest},
             {"making_room", this->Swaps()},
             {"store_loads", this->StoreLoads()},
             {"targets", this->books.size()},
             {"unknown",
              count([](const TargetBook& book) { return !book.IsKnown(); })},
             {"busy", count([](const TargetBook& book) {
                return book.loading().has_value() || book.pending().has_value();
              })}});
}

void PlacementCore::AskReports() {
  for (auto& [id, book] : this->books) {
    if (book.NeedsReport(this->now) &&
        this->FindEngine(book.record().service) != nullptr) {
      book.OnReportAsked(this->now);
      this->effects.emplace_back(
          RequestTargetReport{.target = id, .address = book.record().address});
    }
  }
}

// @return whether nothing is left to do for it.
bool PlacementCore::Serve(const ModelPath& path, Want& want) {
  if (this->FindModel(want.service, path.model) == nullptr) {
    return true;
  }
  if (this->IsOrdered(path)) {
    return false;
  }
  if (this->ServeHeld(path, want)) {
    return true;
  }
  return path.IsAdapter() ? this->ServeAdapter(path, want)
                          : this->ServeModel(path, want);
}

// Whether a load of it waits for the target's answer.
bool PlacementCore::IsOrdered(const ModelPath& path) const {
  return std::ranges::any_of(
      this->holders.Of(path), [&](const TargetId& target) {
        const auto& pending = this->books.at(target).pending();
        return pending && pending->kind == OrderKind::kLoad &&
               pending->path == path;
      });
}

// Tells again where the path is, or will be: the hosts that ask have missed it.
bool PlacementCore::ServeHeld(const ModelPath& path, const Want& want) {
  bool is_held = false;
  for (const TargetId& id : this->holders.Of(path)) {
    const TargetBook& book = this->books.at(id);
    if (book.record().service != want.service || !this->IsUsable(book)) {
      continue;
    }
    if (book.IsComing(path)) {
      this->Tell(
          book, path, true,
          std::max(Duration::zero(), book.loading()->ready_at - this->now),
          want.asked_by);
      is_held = true;
    } else if (book.Holds(path) && !want.denied_by.contains(id)) {
      this->Tell(book, path, true, Duration::zero(), want.asked_by);
      is_held = true;
    }
  }
  return is_held;
}

bool PlacementCore::ServeModel(const ModelPath& path, Want& want) {
  if (want.chosen) {
    const auto chosen = this->books.find(*want.chosen);
    if (chosen == this->books.end() || !this->IsUsable(chosen->second)) {
      want.chosen.reset();
    }
  }
  const auto site = this->FindSite(path, want);
  if (!site) {
    return false;
  }
  const bool begins = !want.chosen && !site->victims.empty();
  if (begins && want.latency_objective >= kPatientAim &&
      this->Swaps() >=
          std::ceil(kMostPatientSwaps * this->TargetsOf(want.service))) {
    return false;
  }
  want.chosen = site->book->record().id;
  want.ordered_on = want.chosen;
  if (!site->victims.empty()) {
    this->Order(*site->book, OrderKind::kUnload, site->victims.front(),
                "place.make_room");
    return false;
  }
  if (site->source == WeightSource::kStore) {
    this->budget.Acquire();
  }
  this->Order(*site->book, OrderKind::kLoad, path, "place.load");
  return false;
}

// Wants for which room is being made.
std::uint32_t PlacementCore::Swaps() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      this->wants,
      [](const auto& entry) { return entry.second.chosen.has_value(); }));
}

// That can be given orders for the service, as far as the registry tells.
std::uint32_t PlacementCore::TargetsOf(const ServiceId& service) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      this->books | std::views::values, [&](const TargetBook& book) {
        return book.record().service == service && this->IsUsable(book);
      }));
}

// Whether another want makes room there.
bool PlacementCore::IsClaimed(const TargetId& target, const Want& by) const {
  return std::ranges::any_of(this->wants, [&](const auto& entry) {
    return &entry.second != &by && entry.second.chosen == target;
  });
}

bool PlacementCore::ServeAdapter(const ModelPath& path, Want& want) {
  const Engine* engine = this->FindEngine(want.service);
  const Model* model = this->FindModel(want.service, path.model);
  TargetBook* best = nullptr;
  bool is_base_held = false;
  for (const TargetId& id : this->holders.Of(path.Base())) {
    TargetBook& book = this->books.at(id);
    if (book.record().service != want.service || !this->IsUsable(book)) {
      continue;
    }
    is_base_held = true;
    if (!book.IsFree(this->now)) {
      continue;
    }
    if (best == nullptr || this->AdaptersOn(book) < this->AdaptersOn(*best)) {
      best = &book;
    }
  }
  if (!is_base_held) {
    this->ServeModel(path.Base(), want);
    return false;
  }
  if (best == nullptr) {
    return false;
  }
  want.ordered_on = best->record().id;
  const bool has_slot = this->AdaptersOn(*best) < engine->max_adapters;
  const bool has_room =
      this->UsedMb(*best) + model->adapter_mb <= engine->capacity_mb;
  if (has_slot && has_room) {
    this->Order(*best, OrderKind::kLoad, path, "place.load");
    return false;
  }
  std::optional<ModelPath> oldest;
  for (const ModelPath& held : best->held()) {
    const bool is_older =
        held.IsAdapter() && (!oldest || this->history.LastUse(held) <
                                            this->history.LastUse(*oldest));
    if (is_older) {
      oldest = held;
    }
  }
  if (oldest) {
    this->Order(*best, OrderKind::kUnload, *oldest, "place.make_room");
  }
  return false;
}

void PlacementCore::FillFreeRoom() {
  if (!this->wants.empty() || this->now - this->filled_at < kFillInterval) {
    return;
  }
  this->filled_at = this->now;
  for (auto& [id, book] : this->books) {
    const Engine* engine = this->FindEngine(book.record().service);
    if (engine != nullptr && this->IsUsable(book) && book.IsFree(this->now)) {
      this->FillOne(book, *engine);
    }
  }
}

bool PlacementCore::HasRoomFor(const TargetBook& book,
                               const Model& model,
                               const Engine& engine) const {
  return this->UsedMb(book) + model.weights_mb +
             model.adapter_mb * kAdapterReserve <=
         engine.capacity_mb;
}

// Loads what no target holds, or else a further copy of what is used most.
void PlacementCore::FillOne(TargetBook& book, const Engine& engine) {
  const ServiceId& service = book.record().service;
  const Model* best = nullptr;
  double best_score = 0;
  for (const ModelId& id : book.Copies()) {
    const ModelPath path{.model = id};
    const Model* model = this->FindModel(service, id);
    if (model == nullptr || book.Holds(path) ||
        !this->HasRoomFor(book, *model, engine)) {
      continue;
    }
    const std::uint32_t holding = this->LoadedTargets(service, path);
    const double rate = this->history.RequestRate(path, this->now);
    const double score =
        holding == 0 ? 1 + rate
                     : (rate / holding > kSpareRate ? rate / holding / 100 : 0);
    if (score > best_score) {
      best = model;
      best_score = score;
    }
  }
  if (best != nullptr) {
    this->Order(book, OrderKind::kLoad, ModelPath{.model = best->id},
                "place.fill");
  }
}

}  // namespace cicadaloft
