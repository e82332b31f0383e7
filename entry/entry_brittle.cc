#include <algorithm>
#include <optional>

#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// A host that hasn't been told its position among the hosts by then has a
/// lease holder of an earlier version, or none.
constexpr Duration kMaxPositionDelay = std::chrono::seconds(5);

/// A host that is new among the others takes up its part after this time: by
/// then they have been told, and most of their runs have ended.
constexpr Duration kNewPositionDelay = std::chrono::seconds(2);

}  // namespace

std::optional<std::uint32_t> EntryCore::RejectionLimitOf(
    const TargetView& target) const {
  if (target.notices().HasAnswered(this->now)) {
    return target.notices().RejectionLimit(this->now);
  }
  const auto service = this->brittle_services.find(target.record().service);
  if (service != this->brittle_services.end()) {
    return service->second.RejectionLimit();
  }
  // A process that has started among others doesn't know yet whether these have
  // heard a limit. Its first requests tell.
  const bool may_be_brittle = !this->settings.is_first_start &&
                              !this->IsKnownOnlyHost() &&
                              this->HasFirstRequest(target.record().service);
  return may_be_brittle ? std::optional<std::uint32_t>(0) : std::nullopt;
}

// Whether this host has a request at a target of the service, or may send one
// within its part. A host that has neither sends one anywhere.
bool EntryCore::HasFirstRequest(const ServiceId& service) const {
  const auto found = this->targets_by_service.find(service);
  return found != this->targets_by_service.end() &&
         std::ranges::any_of(found->second, [this](const TargetId& id) {
           const auto target = this->targets.find(id);
           return target != this->targets.end() &&
                  (target->second.in_flight() > 0 ||
                   target->second.brittle_bound().Part(
                       this->AsBrittle(target->second, 0)) > 0);
         });
}

std::optional<BrittleTarget> EntryCore::BrittleTargetOf(
    const TargetView& target) const {
  const std::optional<std::uint32_t> limit = this->RejectionLimitOf(target);
  return limit ? std::optional(this->AsBrittle(target, *limit)) : std::nullopt;
}

// Whether this host may have a part of the targets' slots at present.
bool EntryCore::HasPosition() const {
  if (this->shares.host_position) {
    // Hosts that had the slots before may still use them.
    return this->settings.is_first_start ||
           this->now - this->shares.positioned_since >= kNewPositionDelay;
  }
  return this->IsKnownOnlyHost() ||
         this->now - this->first_event_at >= kMaxPositionDelay;
}

bool EntryCore::IsKnownOnlyHost() const {
  return this->shares != SharesChanged{} && this->IsOnlyHost();
}

BrittleTarget EntryCore::AsBrittle(const TargetView& target,
                                   std::uint32_t rejection_limit) const {
  const std::uint32_t hosts =
      std::max(1U, this->shares.host_position ? this->shares.position_count
                                              : this->shares.host_count);
  const std::uint32_t position = this->shares.host_position.value_or(
      static_cast<std::uint32_t>(StableHash(this->settings.host.value())));
  return BrittleTarget{.key = StableHash(target.record().id.value()),
                       .slots = this->HasPosition() ? target.record().slots : 0,
                       .rejection_limit = rejection_limit,
                       .host_position = position % hosts,
                       .host_count = hosts};
}

bool EntryCore::HasRoom(const TargetView& target,
                        const BrittleTarget& brittle) const {
  return target.brittle_bound().MaySend(brittle, target.in_flight(),
                                        target.LoadReport(), this->now);
}

// Only the head of a response is an answer of this moment: a response may end
// long after its head.
void EntryCore::RecordAnswer(const OpenRequest& request,
                             const TargetNotice& notice) {
  const auto found = this->targets.find(request.target);
  if (found == this->targets.end() ||
      found->second.record().instance != request.instance) {
    return;
  }
  TargetView& target = found->second;
  this->brittle_services[target.record().service].OnAnswer(
      notice.rejection_limit, this->now);
  if (target.OnAnswer(notice, this->now)) {
    this->Log(event_names::kTargetBrittle, request.arrival.caller_request_id,
              {{"target", request.target.value()},
               {"instance", request.instance.value()},
               {"is_brittle", notice.rejection_limit ? "yes" : "no"},
               {"rejection_limit", notice.rejection_limit.value_or(0)},
               {"slots", target.record().slots},
               {"hosts", this->shares.host_count}});
  }
}

}  // namespace cicadaloft
