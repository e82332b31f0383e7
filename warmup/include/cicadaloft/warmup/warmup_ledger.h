#ifndef CICADALOFT_WARMUP_WARMUP_LEDGER_H_
#define CICADALOFT_WARMUP_WARMUP_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// A grant and the host that receives it.
struct HostWarmupGrant {
  HostId host;
  WarmupGrant grant;

  friend auto operator<=>(const HostWarmupGrant&,
                          const HostWarmupGrant&) = default;
  friend bool operator==(const HostWarmupGrant&,
                         const HostWarmupGrant&) = default;
};

/// The lease holder's rate limiter for what all hosts together send to each
/// cold target. Hosts that request the same target are served round robin. The
/// caller ensures that only one ledger of all hosts issues grants at a time.
class WarmupLedger {
 public:
  /// Begins a term as lease holder. Grants of an earlier holder may be in use
  /// for kWarmupRequestTtl, so none is issued before that.
  void BeginTerm(TimePoint now);

  /// Records a request. It replaces an earlier one of that host for the target.
  /// @param rate requests per second that the target tolerates while it is
  /// cold.
  void OnRequest(const WarmupRequest& request, double rate, TimePoint now);

  /// @return the grants that are due now; each is returned once.
  std::vector<HostWarmupGrant> IssueGrants(TimePoint now);

 private:
  struct PendingRequest {
    HostId host;
    std::uint64_t request_number = 0;
    std::uint32_t count = 0;
    TimePoint expires_at{};
  };
  struct TokenBucket {
    double rate = 0;
    double tokens = 0;
    TimePoint refilled_at{};
    std::deque<PendingRequest> queue;
  };

  static void Refill(TokenBucket& bucket, TimePoint now);
  static std::vector<HostWarmupGrant> GrantFromBucket(const TargetId& target,
                                                      TokenBucket& bucket);

  std::map<TargetId, TokenBucket> buckets;  ///< Of recently requested targets.
  TimePoint earliest_grant_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_WARMUP_WARMUP_LEDGER_H_
