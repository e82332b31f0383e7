#ifndef CICADALOFT_ROUTING_LAPSED_NOTICES_H_
#define CICADALOFT_ROUTING_LAPSED_NOTICES_H_

#include <map>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/routing/target_notice.h"

namespace cicadaloft {

/// What targets whose registry entries are gone have said about themselves. An
/// entry lapses by a late heartbeat too, and the same process may come back
/// while its rest isn't over.
class LapsedNotices {
 public:
  /// Keeps the notices of a process whose entry is gone, for kMaxTargetRest.
  void Keep(const TargetId& target,
            TargetInstance instance,
            const ObservedNotices& notices,
            TimePoint now);

  /// Removes and returns the notices of a process whose entry is back.
  /// @return empty ones for another process than the kept one.
  ObservedNotices Take(const TargetId& target, TargetInstance instance);

 private:
  struct Lapsed {
    TargetInstance instance;
    ObservedNotices notices;
    TimePoint kept_until{};
  };

  std::map<TargetId, Lapsed> lapsed;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ROUTING_LAPSED_NOTICES_H_
