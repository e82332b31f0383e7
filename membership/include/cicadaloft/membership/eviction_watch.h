#ifndef CICADALOFT_MEMBERSHIP_EVICTION_WATCH_H_
#define CICADALOFT_MEMBERSHIP_EVICTION_WATCH_H_

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/membership/member_table.h"
#include "cicadaloft/membership/messages.h"

namespace cicadaloft {

struct EvictionTerms {
  /// Without a renewal for so long a lease has lapsed by anyone's clock.
  const Duration lapse_time;
  /// More for members whose orders may still be under way.
  const Duration order_term;
  /// For members of a data centre that is out, by members of others.
  const Duration outside_time = std::chrono::minutes(15);

  friend auto operator<=>(const EvictionTerms&, const EvictionTerms&) = default;
  friend bool operator==(const EvictionTerms&, const EvictionTerms&) = default;
};

/// Who may be evicted in whose data centre, as the configuration has it.
struct EvictionScope {
  const Member self;
  const DataCentreId data_centre;
  const std::set<DataCentreId> out;  ///< Data centres out of service.
  /// Data centres with targets that carry out orders without a token check.
  const std::set<DataCentreId> unfenced;

  friend auto operator<=>(const EvictionScope&, const EvictionScope&) = default;
  friend bool operator==(const EvictionScope&, const EvictionScope&) = default;
};

/// Watches the other members' renewals and the host list, by the own clock.
class EvictionWatch {
 public:
  explicit EvictionWatch(const EvictionTerms& terms);

  /// Looks at the members as they stand in the log now.
  void Look(const MemberTable& members, TimePoint now);
  /// The log is out: renewals may stand there unseen.
  void LogFailed();
  void TakeHostList(const std::vector<HostListEntry>& hosts, TimePoint now);

  /// @return the evictions to write now.
  std::vector<EvictRecord> Due(const MemberTable& members,
                               const EvictionScope& scope,
                               TimePoint now);

 private:
  struct Sighting {
    LogOffset renewal;
    Incarnation incarnation;
    TimePoint since;  ///< When this renewal was read, or the log came back.
  };

  bool IsDue(const MemberInfo& member,
             const MemberTable& members,
             const EvictionScope& scope,
             TimePoint now) const;

  EvictionTerms terms;
  std::map<HostId, Sighting> sightings;
  std::optional<std::set<HostId>> listed;
  TimePoint listed_at{};
  std::map<HostId, TimePoint> tried;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_MEMBERSHIP_EVICTION_WATCH_H_
