#include "cicadaloft/steward/steward_node.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/control_reasons.h"
#include "claim_work.h"
#include "link_work.h"
#include "log_work.h"
#include "member_work.h"
#include "mirror_work.h"
#include "placement_work.h"
#include "steward_parts.h"

namespace cicadaloft {
namespace {

/// Hands one event to the parts that it concerns.
class EventTaker {
 public:
  explicit EventTaker(StewardParts& parts) : parts(parts) {}

  void operator()(const LogRead& event) {
    TakeAdvance(this->parts, this->parts.follower.Read(event));
  }
  void operator()(const LogReadFailed& /*event*/) {
    this->parts.follower.ReadFailed();
    this->parts.evictions.LogFailed();
  }
  void operator()(const AppendAnswered& event) {
    this->parts.writer.Answered(event.is_ok, this->parts.now);
  }
  void operator()(const HostListRead& event) {
    this->parts.links.TakeHostList(event.hosts);
    this->parts.has_new_hosts = true;
    this->parts.evictions.TakeHostList(event.hosts, this->parts.now);
  }
  void operator()(const StewardLinkReceived& event) {
    TakeLinkMessage(this->parts, event);
  }
  void operator()(const PeerChanged& event) {
    TakePeerChange(this->parts, event);
  }
  void operator()(const TargetReported& event) {
    TakeTargetReport(this->parts, event);
  }
  void operator()(const TargetPollFailed& event) {
    this->parts.placement.PollFailed(event.target);
  }
  void operator()(const OrderEnded& event) { TakeOrderEnd(this->parts, event); }
  void operator()(const TicketSubmitted& event) {
    this->parts.tickets.Submit(event, this->parts.now);
  }
  void operator()(const StewardStopRequested& /*event*/) {
    if (!this->parts.stop.asked.has_value()) {
      this->parts.stop.asked = this->parts.now;
    }
  }
  void operator()(const StewardTick& /*event*/) {}

 private:
  StewardParts& parts;
};

/// Everything that is due, whatever the event was.
void Work(StewardParts& parts) {
  NotePlace(parts);
  const bool is_heartbeat = WorkOnLinks(parts);
  WorkOnMembership(parts);
  if (is_heartbeat) {
    WorkOnEvictions(parts);
    BeginHandovers(parts);
  }
  WorkOnHandovers(parts);
  WorkOnMirrors(parts);
  WorkOnPlacement(parts);
  WorkOnClaims(parts);
  std::ranges::for_each(
      parts.tickets.Work(parts.ledger().config(), parts.IsInForce(),
                         parts.writer, parts.now),
      [&](const TicketAnswer& answer) { parts.Emit(answer); });
  WorkOnCheckpoint(parts);
  WorkOnShareLease(parts, is_heartbeat);
  WorkOnStop(parts);
  WorkOnLog(parts);
}

}  // namespace

struct StewardState::Parts : StewardParts {
  using StewardParts::StewardParts;
};

StewardState::StewardState(const StewardSettings& settings)
    : parts(std::make_unique<Parts>(settings)) {}
StewardState::~StewardState() = default;
StewardState::StewardState(StewardState&& other) noexcept = default;
StewardState& StewardState::operator=(StewardState&& other) noexcept = default;

const Ledger& StewardState::ledger() const {
  return this->parts->ledger();
}

StewardStatus StewardState::Status() const {
  const Parts& parts = *this->parts;
  std::vector<DutyId> duties;
  std::ranges::for_each(parts.ledger().members().duties(),
                        [&](const auto& duty) {
                          if (duty.second.owner == parts.self()) {
                            duties.push_back(duty.first);
                          }
                        });
  return StewardStatus{
      .is_member = parts.IsInForce(),
      .log_reachable = parts.follower.IsLogReachable(),
      .may_use_rights = parts.MayUseRights(),
      .next = parts.ledger().next(),
      .peers_up = std::vector<HostId>(parts.links.peers_up().begin(),
                                      parts.links.peers_up().end()),
      .duties = std::move(duties)};
}

Step<StewardState, StewardEffect> Decide(StewardState state,
                                         const StewardEvent& event,
                                         TimePoint now) {
  StewardState::Parts& parts = *state.parts;
  parts.now = now;
  parts.effects.clear();
  if (!parts.started.has_value()) {
    parts.started = now;
  }
  if (parts.lease.NoteEvent(now)) {
    parts.Explain(reasons::kSuspended, "");
  }
  std::visit(EventTaker(parts), event);
  Work(parts);
  std::vector<StewardEffect> effects;
  effects.swap(parts.effects);
  return {std::move(state), std::move(effects)};
}

}  // namespace cicadaloft
