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
          .order_term = settings.order_term}),
      placement(PlacementTerms{.data_centre = settings.data_centre,
                               .poll_interval = settings.poll_interval,
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
  const auto is_mate = [this](const MemberInfo& member) {
    return member.data_centre == this->settings.data_centre &&
           member.member.host != this->self().host;
  };
  const auto is_linked = [&](const MemberInfo& member) {
    return is_mate(member) && this->links.IsUp(member.member.host);
  };
  const auto reaches_log = [&](const MemberInfo& member) {
    const auto found = this->links.positions().find(member.member.host);
    return is_linked(member) && found != this->links.positions().end() &&
           found->second.log_reachable;
  };
  const auto members = this->ledger().members().members() | std::views::values;
  return MateView{
      .is_in_force = this->IsInForce(),
      .is_log_reachable = this->follower.IsLogReachable(),
      .does_mate_reach_log = std::ranges::any_of(members, reaches_log),
      .is_mate_linked = std::ranges::any_of(members, is_linked),
      .is_only_member = std::ranges::none_of(members, is_mate)};
}

bool StewardParts::MayUseRights() const {
  return !this->stop.left.has_value() &&
         this->lease.MayUseRights(this->ViewOfMates(), this->now);
}

std::vector<HostId> StewardParts::LinkedMates() const {
  std::vector<HostId> linked;
  std::ranges::for_each(
      this->ledger().members().MembersOf(this->settings.data_centre),
      [&](const MemberInfo& mate) {
        if (mate.member != this->self() && this->links.IsUp(mate.member.host)) {
          linked.push_back(mate.member.host);
        }
      });
  return linked;
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
