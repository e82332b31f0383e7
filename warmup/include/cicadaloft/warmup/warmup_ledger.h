#ifndef CICADALOFT_WARMUP_WARMUP_LEDGER_H_
#define CICADALOFT_WARMUP_WARMUP_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// A grant and the host that it is for.
struct HostWarmupGrant {
  HostId host;
  WarmupGrant grant;

  friend auto operator<=>(const HostWarmupGrant&,
                          const HostWarmupGrant&) = default;
  friend bool operator==(const HostWarmupGrant&,
                         const HostWarmupGrant&) = default;
};

/// The holder's account of what all hosts together send to each cold target.
/// Hosts that ask for the same target take turns. The caller sees to it that
/// only one ledger of all hosts grants at a time.
class WarmupLedger {
 public:
  /// Begins a tenure. What an earlier holder has granted may be in use for
  /// kWarmupRequestTtl.
  void BeginTerm(TimePoint now);

  /// Notes an ask, instead of an earlier one of that host for the target.
  /// @param rate requests a second that the target bears while it is cold.
  void OnRequest(const WarmupRequest& asked, double rate, TimePoint now);

  /// @return what can be granted now; nothing of it is granted again.
  std::vector<HostWarmupGrant> IssueGrants(TimePoint now);

 private:
  struct Waiting {
    HostId host;
    std::uint64_t ask = 0;
    std::uint32_t wanted = 0;
    TimePoint ends{};
  };
  struct Gate {
    double rate = 0;
    double stock = 0;
    TimePoint refilled{};
    std::deque<Waiting> line;
  };

  static void Refill(Gate& gate, TimePoint now);
  static std::vector<HostWarmupGrant> GrantFrom(const TargetId& target,
                                                Gate& gate);

  std::map<TargetId, Gate> gates;  ///< Of targets that were asked for lately.
  TimePoint grants_from{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_WARMUP_WARMUP_LEDGER_H_
