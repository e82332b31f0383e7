#ifndef CICADALOFT_WARMUP_WARMUP_PERMITS_H_
#define CICADALOFT_WARMUP_WARMUP_PERMITS_H_

#include <cstdint>
#include <map>

#include "cicadaloft/core/time.h"
#include "cicadaloft/warmup/warmup_messages.h"

namespace cicadaloft {

/// The permits of one host to send requests to cold targets. A host sends
/// nothing without a grant, so the total can't exceed a target's rate, however
/// many hosts there are and however outdated their state is.
class WarmupPermits {
 public:
  /// Creates and records a request for permits to a target for which none is
  /// pending.
  /// @param count requests to be sent; above 0.
  /// @return the message for the lease holder.
  WarmupRequest CreateRequest(const HostId& host,
                              const TargetId& target,
                              std::uint32_t count,
                              TimePoint now);
  /// Adds granted permits; grants for earlier requests are ignored.
  void OnGrant(const WarmupGrant& grant);

  /// @return whether a request may be sent to the target now.
  bool MaySend(const TargetId& target, TimePoint now) const;
  void OnSend(const TargetId& target);

  /// @return permits that were requested and not used yet; 0: no request for
  /// the target is pending.
  std::uint32_t OutstandingCount(const TargetId& target, TimePoint now) const;

 private:
  struct PendingRequest {
    std::uint64_t number = 0;
    TimePoint expires_at{};
    std::uint32_t ungranted = 0;  ///< Requested, not granted.
    std::uint32_t unused = 0;     ///< Granted, not used.
  };

  std::map<TargetId, PendingRequest> pending_requests;  ///< Newest per target.
  std::uint64_t last_number = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_WARMUP_WARMUP_PERMITS_H_
