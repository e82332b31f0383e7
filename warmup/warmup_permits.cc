#include "cicadaloft/warmup/warmup_permits.h"

#include <algorithm>

namespace cicadaloft {

WarmupRequest WarmupPermits::CreateRequest(const HostId& host,
                                           const TargetId& target,
                                           std::uint32_t wanted,
                                           TimePoint now) {
  std::erase_if(this->asks,
                [&](const auto& entry) { return entry.second.ends <= now; });
  this->asks[target] = OpenAsk{.number = ++this->last_number,
                               .ends = now + kWarmupRequestTtl,
                               .awaited = wanted};
  return WarmupRequest{.host = host,
                       .target = target,
                       .request_number = this->last_number,
                       .count = wanted};
}

void WarmupPermits::OnGrant(const WarmupGrant& granted) {
  const auto found = this->asks.find(granted.target);
  if (found == this->asks.end() ||
      found->second.number != granted.request_number) {
    return;
  }
  OpenAsk& ask = found->second;
  const std::uint32_t count = std::min(granted.count, ask.awaited);
  ask.awaited -= count;
  ask.unused += count;
}

bool WarmupPermits::MaySend(const TargetId& target, TimePoint now) const {
  const auto found = this->asks.find(target);
  return found != this->asks.end() && now < found->second.ends &&
         found->second.unused > 0;
}

void WarmupPermits::OnSend(const TargetId& target) {
  const auto found = this->asks.find(target);
  if (found != this->asks.end() && found->second.unused > 0) {
    --found->second.unused;
  }
}

std::uint32_t WarmupPermits::OutstandingCount(const TargetId& target,
                                              TimePoint now) const {
  const auto found = this->asks.find(target);
  return found == this->asks.end() || found->second.ends <= now
             ? 0
             : found->second.awaited + found->second.unused;
}

}  // namespace cicadaloft
