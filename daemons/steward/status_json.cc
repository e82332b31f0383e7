#include "status_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

namespace cicadaloft {
namespace {

using nlohmann::json;

std::string_view NameOf(ReservationState state) {
  switch (state) {
    case ReservationState::kLoading:
      return "loading";
    case ReservationState::kLoaded:
      return "loaded";
    case ReservationState::kUnloading:
      return "unloading";
  }
  return "loading";
}

std::string NameOf(const DutyId& duty) {
  return duty.kind == DutyKind::kPlacement
             ? "placement/" + duty.data_centre.value()
             : "claims/" + duty.data_centre.value() + "/" +
                   std::to_string(duty.bucket);
}

json DescribeMember(const MemberInfo& info, const Ledger& ledger) {
  json member = json::object();
  member["host"] = info.member.host.value();
  member["data_centre"] = info.data_centre.value();
  member["incarnation"] = info.member.incarnation.value();
  member["applied"] = info.applied.value();
  member["last_renewal"] = info.last_renewal.value();
  member["share"] = ledger.shares().FractionOf(info.member.host);
  return member;
}

json DescribeTarget(const TargetId& id, const TargetMemory& memory) {
  json target = json::object();
  target["target"] = id.value();
  target["instance"] = memory.instance.value();
  target["reserved_mib"] = memory.ReservedMib();
  target["models"] = json::array();
  for (const auto& [model, reservation] : memory.reservations) {
    json described = json::object();
    described["model"] = model.value();
    described["state"] = NameOf(reservation.state);
    target["models"].push_back(described);
  }
  return target;
}

}  // namespace

std::string FormatStatus(const StewardSettings& settings,
                         const StewardStatus& status,
                         const Ledger& ledger) {
  json body = json::object();
  body["host"] = settings.self.host.value();
  body["data_centre"] = settings.data_centre.value();
  body["is_member"] = status.is_member;
  body["log_reachable"] = status.log_reachable;
  body["may_use_rights"] = status.may_use_rights;
  body["next"] = status.next.value();
  for (const char* const list : {"peers_up", "duties", "members", "targets"}) {
    body[list] = json::array();
  }
  std::ranges::for_each(status.peers_up, [&](const HostId& peer) {
    body["peers_up"].push_back(peer.value());
  });
  std::ranges::for_each(status.duties, [&](const DutyId& duty) {
    body["duties"].push_back(NameOf(duty));
  });
  for (const auto& [host, info] : ledger.members().members()) {
    body["members"].push_back(DescribeMember(info, ledger));
  }
  for (const auto& [target, memory] : ledger.placements().targets()) {
    body["targets"].push_back(DescribeTarget(target, memory));
  }
  return body.dump();
}

std::string FormatExplanation(const std::vector<DecisionLine>& lines) {
  json body = json::object();
  body["decisions"] = json::array();
  std::ranges::for_each(lines, [&](const DecisionLine& line) {
    json decision = json::object();
    decision["reason"] = line.reason;
    decision["request"] = line.request.value();
    decision["detail"] = line.detail;
    body["decisions"].push_back(decision);
  });
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string FormatProblem(const Error& error) {
  const ErrorAnswer& answer = AnswerFor(error.kind);
  json body = json::object();
  body["kind"] = answer.token;
  body["message"] = error.message;
  body["run_state"] = ToString(answer.run_state);
  body["advice"] = answer.advice;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cicadaloft
