#include "cicadaloft/membership/member_table.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

std::string TextOf(const DutyId& duty) {
  return duty.data_centre.value() + "/" +
         std::to_string(static_cast<int>(duty.kind)) + "/" +
         std::to_string(duty.bucket);
}

MemberInfo WithRenewal(const MemberInfo& info,
                       LogOffset at,
                       LogOffset applied) {
  return MemberInfo{.member = info.member,
                    .data_centre = info.data_centre,
                    .peer_address = info.peer_address,
                    .joined = info.joined,
                    .last_renewal = at,
                    .applied = std::max(info.applied, applied)};
}

void Replace(std::map<HostId, MemberInfo>& members, const MemberInfo& info) {
  members.erase(info.member.host);
  members.emplace(info.member.host, info);
}

}  // namespace

MemberTable::MemberTable(std::map<HostId, MemberInfo> members,
                         std::map<DutyId, DutyHolder> duties,
                         std::map<DataCentreId, LogOffset> claim_homes)
    : member_infos(std::move(members)),
      duty_holders(std::move(duties)),
      homes(std::move(claim_homes)) {}

const MemberInfo* MemberTable::Find(const HostId& host) const {
  const auto found = this->member_infos.find(host);
  return found == this->member_infos.end() ? nullptr : &found->second;
}

bool MemberTable::IsInForce(const Member& member) const {
  const MemberInfo* info = this->Find(member.host);
  return info != nullptr && info->member == member;
}

std::vector<MemberInfo> MemberTable::MembersOf(
    const DataCentreId& data_centre) const {
  std::vector<MemberInfo> mates;
  std::ranges::copy_if(
      this->member_infos | std::views::values, std::back_inserter(mates),
      [&](const MemberInfo& m) { return m.data_centre == data_centre; });
  return mates;
}

const DutyHolder* MemberTable::FindDuty(const DutyId& duty) const {
  const auto found = this->duty_holders.find(duty);
  return found == this->duty_holders.end() ? nullptr : &found->second;
}

bool MemberTable::Owns(const Member& member, const DutyId& duty) const {
  const DutyHolder* holder = this->FindDuty(duty);
  return holder != nullptr && holder->owner == member;
}

const MemberInfo* MemberTable::PreferredOwnerOf(const DutyId& duty) const {
  const std::vector<MemberInfo> mates = this->MembersOf(duty.data_centre);
  const auto owner = PickByRendezvous(
      TextOf(duty), mates,
      [](const MemberInfo& m) { return m.member.host.value(); });
  return owner == mates.end() ? nullptr : this->Find(owner->member.host);
}

std::optional<DutyId> MemberTable::ClaimsDutyOf(
    const std::string& claim_text) const {
  std::vector<DataCentreId> settled;
  const auto is_settled = [this](const auto& home) {
    return std::ranges::all_of(
        this->member_infos | std::views::values,
        [&](const MemberInfo& m) { return m.applied >= home.second; });
  };
  std::ranges::copy(
      this->homes | std::views::filter(is_settled) | std::views::keys,
      std::back_inserter(settled));
  const auto home = PickByRendezvous(claim_text, settled, &DataCentreId::value);
  if (home == settled.end()) {
    return std::nullopt;
  }
  return DutyId{.kind = DutyKind::kClaims,
                .data_centre = *home,
                .bucket = static_cast<std::uint32_t>(StableHash(claim_text) %
                                                     kClaimBuckets)};
}

Rejection MemberTable::Take(const JoinRecord& record,
                            const Member& writer,
                            LogOffset at) {
  if (writer != record.member) {
    return "a member joins by its own record";
  }
  const MemberInfo* before = this->Find(record.member.host);
  if (before != nullptr &&
      before->member.incarnation >= record.member.incarnation) {
    return "this or a later incarnation is in force";
  }
  if (before != nullptr) {
    this->Depart(record.member.host, at);
  }
  Replace(this->member_infos, MemberInfo{.member = record.member,
                                         .data_centre = record.data_centre,
                                         .peer_address = record.peer_address,
                                         .joined = at,
                                         .last_renewal = at,
                                         .applied = at});
  this->AssignFreeDuties(record.data_centre, at);
  return std::nullopt;
}

Rejection MemberTable::Take(const RenewRecord& record,
                            const Member& writer,
                            LogOffset at) {
  if (!this->IsInForce(writer)) {
    return "the writer is no member in force";
  }
  std::ranges::for_each(record.renewals, [&](const Renewal& renewal) {
    if (!this->IsInForce(renewal.member)) {
      return;
    }
    const MemberInfo renewed =
        WithRenewal(*this->Find(renewal.member.host), at, renewal.applied);
    Replace(this->member_infos, renewed);
  });
  return std::nullopt;
}

Rejection MemberTable::Take(const LeaveRecord& record,
                            const Member& writer,
                            LogOffset at) {
  if (writer != record.member || !this->IsInForce(record.member)) {
    return "only a member in force leaves, by its own record";
  }
  this->Depart(record.member.host, at);
  return std::nullopt;
}

Rejection MemberTable::Take(const EvictRecord& record,
                            const Member& writer,
                            LogOffset at,
                            bool may_evict_from_outside) {
  if (!this->IsInForce(writer) || !this->IsInForce(record.member)) {
    return "writer and evicted must be members in force";
  }
  const MemberInfo* evicted = this->Find(record.member.host);
  const MemberInfo* evictor = this->Find(writer.host);
  if (evicted->data_centre != evictor->data_centre && !may_evict_from_outside) {
    return "only a mate of the data centre may evict";
  }
  if (evicted->last_renewal > record.last_renewal) {
    return "the member has renewed since";
  }
  this->Depart(record.member.host, at);
  return std::nullopt;
}

Rejection MemberTable::Take(const HandoverRecord& record,
                            const Member& writer,
                            LogOffset at) {
  if (!this->Owns(writer, record.duty)) {
    return "only the owner hands a duty over";
  }
  const MemberInfo* to = this->Find(record.to);
  if (to == nullptr || to->data_centre != record.duty.data_centre) {
    return "a duty goes to a member of its data centre";
  }
  this->duty_holders.erase(record.duty);
  this->duty_holders.emplace(
      record.duty,
      DutyHolder{.owner = to->member, .token = FencingToken(at.value())});
  return std::nullopt;
}

void MemberTable::Depart(const HostId& host, LogOffset at) {
  const Member member = this->Find(host)->member;
  const DataCentreId data_centre = this->Find(host)->data_centre;
  this->member_infos.erase(host);
  std::erase_if(this->duty_holders,
                [&](const auto& duty) { return duty.second.owner == member; });
  this->AssignFreeDuties(data_centre, at);
}

void MemberTable::AssignFreeDuties(const DataCentreId& data_centre,
                                   LogOffset at) {
  if (this->MembersOf(data_centre).empty()) {
    this->homes.erase(data_centre);
    return;
  }
  this->homes.try_emplace(data_centre, at);
  std::ranges::for_each(DutiesOf(data_centre), [&](const DutyId& duty) {
    const MemberInfo* owner = this->PreferredOwnerOf(duty);
    this->duty_holders.try_emplace(
        duty,
        DutyHolder{.owner = owner->member, .token = FencingToken(at.value())});
  });
}

std::vector<DutyId> DutiesOf(const DataCentreId& data_centre) {
  std::vector<DutyId> duties = {
      DutyId{.kind = DutyKind::kPlacement, .data_centre = data_centre}};
  std::ranges::transform(std::views::iota(std::uint32_t{0}, kClaimBuckets),
                         std::back_inserter(duties), [&](std::uint32_t bucket) {
                           return DutyId{.kind = DutyKind::kClaims,
                                         .data_centre = data_centre,
                                         .bucket = bucket};
                         });
  return duties;
}

}  // namespace cicadaloft
