#include "cicadaloft/warmup/warmup_permits.h"

#include <algorithm>

namespace cicadaloft {

WarmupRequest WarmupPermits::CreateRequest(const HostId& host,
                                           const TargetId& target,
                                           std::uint32_t count,
                                           TimePoint now) {
  std::erase_if(this->pending_requests, [&](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  this->pending_requests[target] =
      PendingRequest{.number = ++this->last_number,
                     .expires_at = now + kWarmupRequestTtl,
                     .ungranted = count};
  return WarmupRequest{.host = host,
                       .target = target,
                       .request_number = this->last_number,
                       .count = count};
}

void WarmupPermits::OnGrant(const WarmupGrant& grant) {
  const auto found = this->pending_requests.find(grant.target);
  if (found == this->pending_requests.end() ||
      found->second.number != grant.request_number) {
    return;
  }
  PendingRequest& pending = found->second;
  const std::uint32_t count = std::min(grant.count, pending.ungranted);
  pending.ungranted -= count;
  pending.unused += count;
}

bool WarmupPermits::MaySend(const TargetId& target, TimePoint now) const {
  const auto found = this->pending_requests.find(target);
  return found != this->pending_requests.end() &&
         now < found->second.expires_at && found->second.unused > 0;
}

void WarmupPermits::OnSend(const TargetId& target) {
  const auto found = this->pending_requests.find(target);
  if (found != this->pending_requests.end() && found->second.unused > 0) {
    --found->second.unused;
  }
}

std::uint32_t WarmupPermits::OutstandingCount(const TargetId& target,
                                              TimePoint now) const {
  const auto found = this->pending_requests.find(target);
  return found == this->pending_requests.end() ||
                 found->second.expires_at <= now
             ? 0
             : found->second.ungranted + found->second.unused;
}

}  // namespace cicadaloft
