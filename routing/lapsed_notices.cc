#include "cicadaloft/routing/lapsed_notices.h"

namespace cicadaloft {

void LapsedNotices::Keep(const TargetId& target,
                         TargetInstance instance,
                         const ObservedNotices& notices,
                         TimePoint now) {
  std::erase_if(this->lapsed, [now](const auto& entry) {
    return entry.second.kept_until <= now;
  });
  if (notices.is_leaving() || notices.IsResting(now)) {
    this->lapsed.insert_or_assign(target,
                                  Lapsed{.instance = instance,
                                         .notices = notices,
                                         .kept_until = now + kMaxTargetRest});
  }
}

ObservedNotices LapsedNotices::Take(const TargetId& target,
                                    TargetInstance instance) {
  const auto node = this->lapsed.extract(target);
  return !node.empty() && node.mapped().instance == instance
             ? node.mapped().notices
             : ObservedNotices();
}

}  // namespace cicadaloft
