#ifndef CICADALOFT_LEDGER_TESTS_LEDGER_GENERATORS_H_
#define CICADALOFT_LEDGER_TESTS_LEDGER_GENERATORS_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "cicadaloft/ledger/record_json.h"
#include "generators.h"

namespace cicadaloft {

template <>
struct Random<Config> {
  static Config Draw() {
    using Versions = std::map<ItemRef, TicketNumber>;
    std::map<TicketNumber, TicketOutcome> outcomes;
    std::ranges::for_each(cicadaloft::Draw<std::vector<TicketOutcome>>(),
                          [&](const TicketOutcome& outcome) {
                            outcomes.emplace(outcome.number, outcome);
                          });
    return Config(cicadaloft::Draw<std::vector<Item>>(),
                  cicadaloft::Draw<Versions>(), std::move(outcomes),
                  cicadaloft::Draw<TicketNumber>());
  }
};

inline ClaimTable DrawClaims() {
  std::map<ClaimKey, Claim> claims;
  DrawSeveral([&] {
    const auto claim = Draw<Claim>();
    claims.emplace(claim.record.key, claim);
  });
  return ClaimTable(std::move(claims));
}

template <>
struct Random<Ledger> {
  static Ledger Draw() {
    using Members = std::map<HostId, MemberInfo>;
    using Duties = std::map<DutyId, DutyHolder>;
    using Homes = std::map<DataCentreId, LogOffset>;
    using Targets = std::map<TargetId, TargetMemory>;
    using Writers = std::map<Member, SequenceNumber>;
    return Ledger(
        cicadaloft::Draw<LogOffset>(), cicadaloft::Draw<Config>(),
        MemberTable(cicadaloft::Draw<Members>(), cicadaloft::Draw<Duties>(),
                    cicadaloft::Draw<Homes>()),
        ShareTable(cicadaloft::Draw<std::deque<Allocation>>()),
        PlacementTable(cicadaloft::Draw<Targets>()), DrawClaims(),
        cicadaloft::Draw<Writers>());
  }
};

template <>
struct Random<CheckpointRecord> {
  static CheckpointRecord Draw() {
    auto state = std::make_shared<const Ledger>(cicadaloft::Draw<Ledger>());
    const LogOffset offset = state->next();
    return CheckpointRecord{.offset = offset, .state = std::move(state)};
  }
};

}  // namespace cicadaloft

#endif  // CICADALOFT_LEDGER_TESTS_LEDGER_GENERATORS_H_
