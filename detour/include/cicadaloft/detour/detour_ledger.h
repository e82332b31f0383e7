#ifndef CICADALOFT_DETOUR_DETOUR_LEDGER_H_
#define CICADALOFT_DETOUR_DETOUR_LEDGER_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"

namespace cicadaloft {

/// The hosts that may help one host.
struct HostDetours {
  HostId host;
  std::vector<DetourHost> helping;

  friend auto operator<=>(const HostDetours&, const HostDetours&) = default;
  friend bool operator==(const HostDetours&, const HostDetours&) = default;
};

/// The lease holder's knowledge of which hosts can help others.
class DetourLedger {
 public:
  /// Bounds the message to a host, and the work of the lease holder.
  static constexpr std::size_t kMaxHelpingHosts = 8;
  /// Changes within this time are told together: while many hosts are cut off,
  /// each change concerns the lists of many.
  static constexpr Duration kListInterval = std::chrono::milliseconds(200);

  void OnOffer(const DetourOffer& offer);
  /// The host can't be told anything, and must not be sent requests.
  void OnLinkDown(const HostId& host);

  /// @return the lists that have changed since they were last taken, and those
  /// of hosts that have made their first offer since their link went up.
  std::vector<HostDetours> TakeChanges(TimePoint now);

 private:
  struct Offer {
    std::string address;
    bool reaches_targets = true;

    friend auto operator<=>(const Offer&, const Offer&) = default;
    friend bool operator==(const Offer&, const Offer&) = default;
  };

  std::vector<DetourHost> HostsFor(const HostId& host) const;

  std::map<HostId, Offer> offers;
  std::map<HostId, std::vector<DetourHost>> told;
  bool is_changed = false;
  TimePoint taken_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DETOUR_DETOUR_LEDGER_H_
