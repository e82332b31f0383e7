#ifndef CICADALOFT_STEWARD_MIRROR_COLLECTOR_H_
#define CICADALOFT_STEWARD_MIRROR_COLLECTOR_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/membership/member_table.h"

namespace cicadaloft {

/// Asks every mate for its mirrors of each duty that this host has taken over.
class MirrorCollector {
 public:
  /// Takes note of the duties owned and of the mates that have departed.
  /// @return whom to ask for what now.
  std::vector<std::pair<HostId, DutyId>> Work(const MemberTable& members,
                                              const Member& self,
                                              const DataCentreId& data_centre,
                                              TimePoint now);

  void Replied(const HostId& mate, const DutyId& duty);

  /// @return whether every mate has replied or departed since the takeover.
  bool IsCollected(const DutyId& duty) const;
  /// @return since when the duty is owned; only for owned ones.
  Duration Age(const DutyId& duty, TimePoint now) const;

 private:
  struct Collection {
    FencingToken token;
    std::set<Member> awaited;
    TimePoint since{};
    TimePoint next_ask{};
  };

  std::map<DutyId, Collection> collections;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_MIRROR_COLLECTOR_H_
