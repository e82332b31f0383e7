#include "cicadaloft/warmup/warmup_ledger.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace cicadaloft {
namespace {

/// Requests that may go to a target at once when it has had none for a while;
/// some of the slack that platforms allow beside the rate.
constexpr double kMostAtOnce = 2;

/// Left of an ask's term when it is granted, for the message's way and a slow
/// host: a grant that comes too late is lost to all.
constexpr Duration kLeastLeft = std::chrono::milliseconds(100);

}  // namespace

void WarmupLedger::BeginTerm(TimePoint now) {
  this->gates.clear();
  this->grants_from = now + kWarmupRequestTtl;
}

void WarmupLedger::OnRequest(const WarmupRequest& asked,
                             double rate,
                             TimePoint now) {
  const auto [place, is_new] = this->gates.try_emplace(asked.target);
  Gate& gate = place->second;
  if (is_new) {
    gate.stock = kMostAtOnce;
    gate.refilled = now;
  }
  gate.rate = rate;
  const Waiting waiting{.host = asked.host,
                        .ask = asked.request_number,
                        .wanted = asked.count,
                        .ends = now + kWarmupRequestTtl - kLeastLeft};
  const auto earlier = std::ranges::find(gate.line, asked.host, &Waiting::host);
  if (earlier != gate.line.end()) {
    *earlier = waiting;
  } else {
    gate.line.push_back(waiting);
  }
}

std::vector<HostWarmupGrant> WarmupLedger::IssueGrants(TimePoint now) {
  std::vector<HostWarmupGrant> grants;
  if (now < this->grants_from) {
    return grants;
  }
  for (auto& [target, gate] : this->gates) {
    Refill(gate, now);
    std::erase_if(gate.line,
                  [&](const Waiting& waiting) { return waiting.ends <= now; });
    std::ranges::move(GrantFrom(target, gate), std::back_inserter(grants));
  }
  std::erase_if(this->gates, [](const auto& entry) {
    return entry.second.line.empty() && entry.second.stock >= kMostAtOnce;
  });
  return grants;
}

void WarmupLedger::Refill(Gate& gate, TimePoint now) {
  const std::chrono::duration<double> passed = now - gate.refilled;
  gate.stock = std::min(kMostAtOnce, gate.stock + gate.rate * passed.count());
  gate.refilled = now;
}

std::vector<HostWarmupGrant> WarmupLedger::GrantFrom(const TargetId& target,
                                                     Gate& gate) {
  std::map<HostId, std::pair<std::uint64_t, std::uint32_t>> counts;
  while (gate.stock >= 1 && !gate.line.empty()) {
    gate.stock -= 1;
    Waiting next = std::move(gate.line.front());
    gate.line.pop_front();
    auto& [ask, count] = counts[next.host];
    ask = next.ask;
    ++count;
    if (--next.wanted > 0) {
      gate.line.push_back(std::move(next));
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
