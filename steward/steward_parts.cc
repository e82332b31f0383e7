#include "steward_parts.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace cicadaloft {

StewardParts::StewardParts(const StewardSettings& settings)
    : settings(settings),
      writer(settings.self),
      links(settings.self.host, settings.data_centre),
      lease(LeaseTerms{.lease_term = settings.lease_term,
                       .renew_interval = settings.renew_interval,
                       .suspension_limit = settings.suspension_limit,
                       .stale_message_time = settings.heartbeat_interval}),
      evictions(EvictionTerms{
          .lapse_time = settings.lease_term + settings.drift_bound,
          .order_term = settings.order_term}) {}

bool StewardParts::IsInForce() const {
  return this->ledger().members().IsInForce(this->self());
}

bool StewardParts::IsLogUsable() const {
  return this->follower.IsLogReachable() ||
         std::ranges::any_of(this->links.positions() | std::views::values,
                             &LogPosition::log_reachable);
}

MateView StewardParts::ViewOfMates() const {
  const std::vector<MemberInfo> mates =
      this->ledger().members().MembersOf(this->settings.data_centre);
  const auto is_linked = [this](const MemberInfo& mate) {
    return mate.member.host != this->self().host &&
           this->links.IsUp(mate.member.host);
  };
  const auto reaches_log = [&](const MemberInfo& mate) {
    const auto found = this->links.positions().find(mate.member.host);
    return is_linked(mate) && found != this->links.positions().end() &&
           found->second.log_reachable;
  };
  return MateView{
      .is_in_force = this->IsInForce(),
      .is_log_reachable = this->follower.IsLogReachable(),
      .does_mate_reach_log = std::ranges::any_of(mates, reaches_log),
      .is_mate_linked = std::ranges::any_of(mates, is_linked),
      .is_only_member = mates.size() == 1};
}

bool StewardParts::MayUseRights() const {
  return !this->stop.left.has_value() &&
         this->lease.MayUseRights(this->ViewOfMates(), this->now);
}

void StewardParts::Emit(StewardEffect effect) {
  this->effects.push_back(std::move(effect));
}

void StewardParts::Explain(const char* reason, std::string detail) {
  this->Emit(DecisionLine{.reason = reason, .detail = std::move(detail)});
}

bool StewardParts::Send(const HostId& to, LinkMessage message) {
  const std::optional<SendPeer> way = this->links.Route(Envelope{
      .from = this->self().host, .to = to, .message = std::move(message)});
  if (way.has_value()) {
    this->Emit(*way);
  }
  return way.has_value();
}

void StewardParts::SendToEntry(LinkMessage message) {
  if (this->entry.is_up) {
    this->Emit(SendEntry{.envelope = Envelope{.from = this->self().host,
                                              .to = this->self().host,
                                              .message = std::move(message)}});
  }
}

}  // namespace cicadaloft
