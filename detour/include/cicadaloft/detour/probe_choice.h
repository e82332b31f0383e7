#ifndef CICADALOFT_DETOUR_PROBE_CHOICE_H_
#define CICADALOFT_DETOUR_PROBE_CHOICE_H_

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A target that may be probed.
struct ProbeCandidate {
  TargetId target;
  std::string address;
  ServiceId service;
  DataCentreId data_centre;
  /// It has failed since it was last reached.
  bool has_failed = false;
  TimePoint reached_at{};  ///< The last time; the epoch if never.

  friend auto operator<=>(const ProbeCandidate&,
                          const ProbeCandidate&) = default;
  friend bool operator==(const ProbeCandidate&,
                         const ProbeCandidate&) = default;
};

/// Chooses the targets whose probes tell the most: from different data centres,
/// services and addresses, and of these the ones that were reached last. If
/// only some targets have crashed, the others have answered since.
/// @return at most `count` of the candidates.
std::vector<ProbeCandidate> ChooseProbes(std::vector<ProbeCandidate> candidates,
                                         std::size_t count);

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_PROBE_CHOICE_H_
