#include "cicadaloft/warmup/warmup_ledger.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace cicadaloft {
namespace {

/// Capacity of a target's token bucket: requests that may be sent to it at once
/// after an idle time. This uses some of the slack that platforms allow beyond
/// the rate.
constexpr double kBucketCapacity = 2;

/// Minimum remaining TTL of a request when it is granted, to cover the transit
/// time of the message and delays at the host: permits that arrive too late are
/// lost to all hosts.
constexpr Duration kMinRemainingTtl = std::chrono::milliseconds(100);

}  // namespace

void WarmupLedger::BeginTerm(TimePoint now) {
  this->buckets.clear();
  this->earliest_grant_at = now + kWarmupRequestTtl;
}

void WarmupLedger::OnRequest(const WarmupRequest& request,
                             double rate,
                             TimePoint now) {
  const auto [entry, is_new] = this->buckets.try_emplace(request.target);
  TokenBucket& bucket = entry->second;
  if (is_new) {
    bucket.tokens = kBucketCapacity;
    bucket.refilled_at = now;
  }
  bucket.rate = rate;
  const PendingRequest pending{
      .host = request.host,
      .request_number = request.request_number,
      .count = request.count,
      .expires_at = now + kWarmupRequestTtl - kMinRemainingTtl};
  const auto earlier =
      std::ranges::find(bucket.queue, request.host, &PendingRequest::host);
  if (earlier == bucket.queue.end()) {
    bucket.queue.push_back(pending);
  } else {
    *earlier = pending;
  }
  std::erase_if(bucket.queue,
                [](const PendingRequest& item) { return item.count == 0; });
}

std::vector<HostWarmupGrant> WarmupLedger::IssueGrants(TimePoint now) {
  std::vector<HostWarmupGrant> grants;
  if (now < this->earliest_grant_at) {
    return grants;
  }
  for (auto& [target, bucket] : this->buckets) {
    Refill(bucket, now);
    std::erase_if(bucket.queue, [&](const PendingRequest& pending) {
      return pending.expires_at <= now;
    });
    std::ranges::move(GrantFromBucket(target, bucket),
                      std::back_inserter(grants));
  }
  std::erase_if(this->buckets, [](const auto& entry) {
    return entry.second.queue.empty() && entry.second.tokens >= kBucketCapacity;
  });
  return grants;
}

void WarmupLedger::Refill(TokenBucket& bucket, TimePoint now) {
  const std::chrono::duration<double> passed = now - bucket.refilled_at;
  bucket.tokens =
      std::min(kBucketCapacity, bucket.tokens + bucket.rate * passed.count());
  bucket.refilled_at = now;
}

std::vector<HostWarmupGrant> WarmupLedger::GrantFromBucket(
    const TargetId& target,
    TokenBucket& bucket) {
  std::map<HostId, std::pair<std::uint64_t, std::uint32_t>> counts;
  while (bucket.tokens >= 1 && !bucket.queue.empty()) {
    bucket.tokens -= 1;
    PendingRequest next = std::move(bucket.queue.front());
    bucket.queue.pop_front();
    auto& [request_number, count] = counts[next.host];
    request_number = next.request_number;
    ++count;
    if (--next.count > 0) {
      bucket.queue.push_back(std::move(next));
    }
  }
  std::vector<HostWarmupGrant> grants;
  grants.reserve(counts.size());
  for (const auto& [host, granted] : counts) {
    grants.push_back(HostWarmupGrant{.host = host,
                                     .grant = {.target = target,
                                               .request_number = granted.first,
                                               .count = granted.second}});
  }
  return grants;
}

}  // namespace cicadaloft
