#include "cicadaloft/admission/host_positions.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {
namespace {

/// A larger position is an error of the host that states it.
constexpr std::uint32_t kMaxPosition = 4096;

/// Of a position, as stated; how old it is doesn't matter beyond that.
constexpr Duration kMaxAge = std::chrono::minutes(1);

}  // namespace

void HostPositions::BeginTerm(bool has_predecessor, TimePoint now) {
  this->hosts.clear();
  this->taken.clear();
  this->assigns_from = has_predecessor ? now + kStatementTime : now;
}

void HostPositions::OnStatement(const HostPosition& stated, TimePoint now) {
  Host& host = this->hosts[stated.host];
  host.last_report_at = now;
  const bool is_free = !this->taken.contains(stated.position);
  if (!host.position && is_free && stated.position < kMaxPosition) {
    host.position = stated.position;
    host.since = now - std::clamp(stated.age, Duration::zero(), kMaxAge);
    host.told = stated;
    this->taken.emplace(stated.position, stated.host);
  }
}

void HostPositions::OnReport(const HostId& host,
                             bool has_lost_position,
                             TimePoint now) {
  Host& known = this->hosts[host];
  known.last_report_at = now;
  if (has_lost_position) {
    known.told.reset();
  }
}

void HostPositions::RemoveSilent(TimePoint now) {
  std::erase_if(this->hosts, [&](const auto& entry) {
    const bool is_silent = now - entry.second.last_report_at > kTimeout;
    if (is_silent && entry.second.position) {
      this->taken.erase(*entry.second.position);
    }
    return is_silent;
  });
}

// Gives each host without a position the lowest free one.
void HostPositions::Assign(TimePoint now) {
  std::uint32_t next = 0;
  for (auto& [id, host] : this->hosts) {
    if (host.position) {
      continue;
    }
    while (this->taken.contains(next)) {
      ++next;
    }
    host.position = next;
    host.since = now;
    this->taken.emplace(next, id);
  }
}

// The host with the highest position moves to the lowest free one.
void HostPositions::CloseGaps() {
  for (std::uint32_t free = 0; free < this->taken.size(); ++free) {
    if (!this->taken.contains(free)) {
      auto last = this->taken.extract(std::prev(this->taken.end()));
      this->hosts.at(last.mapped()).position = free;
      last.key() = free;
      this->taken.insert(std::move(last));
    }
  }
}

std::vector<HostPosition> HostPositions::TakeChanged(TimePoint now) {
  if (now < this->assigns_from) {
    return {};
  }
  this->RemoveSilent(now);
  this->Assign(now);
  this->CloseGaps();
  std::vector<HostPosition> changed;
  for (auto& [id, host] : this->hosts) {
    const HostPosition current{
        .host = id,
        .position = *host.position,
        .count = static_cast<std::uint32_t>(this->taken.size()),
        .age = now - host.since};
    const bool is_told = host.told && host.told->position == current.position &&
                         host.told->count == current.count;
    if (!is_told) {
      host.told = current;
      changed.push_back(current);
    }
  }
  return changed;
}

}  // namespace cicadaloft
