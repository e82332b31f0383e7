#include "cicadaloft/membership/share_table.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

namespace cicadaloft {
namespace {

double PartOf(const Allocation& allocation, const HostId& host) {
  const auto found = allocation.fractions.find(host);
  return found == allocation.fractions.end() ? 0 : found->second;
}

/// @return whether nobody can still use more than `next` gives.
bool IsConfirmed(const MemberTable& members,
                 const Allocation& before,
                 const Allocation& next) {
  return std::ranges::all_of(before.fractions, [&](const auto& part) {
    const MemberInfo* info = members.Find(part.first);
    const bool shrinks = PartOf(next, part.first) < part.second;
    return !shrinks || info == nullptr || info->applied > next.since;
  });
}

}  // namespace

Allocation SplitEvenly(const MemberTable& members,
                       const std::map<DataCentreId, std::uint32_t>& weights,
                       LogOffset since) {
  std::map<DataCentreId, std::size_t> sizes;
  std::ranges::for_each(members.members() | std::views::values,
                        [&](const MemberInfo& m) {
                          if (weights.contains(m.data_centre)) {
                            ++sizes[m.data_centre];
                          }
                        });
  const double total = std::accumulate(sizes.begin(), sizes.end(), 0.0,
                                       [&](double sum, const auto& size) {
                                         return sum + weights.at(size.first);
                                       });
  std::map<HostId, double> fractions;
  std::ranges::for_each(
      members.members() | std::views::values, [&](const MemberInfo& m) {
        const auto size = sizes.find(m.data_centre);
        if (size != sizes.end()) {
          fractions.emplace(m.member.host,
                            weights.at(m.data_centre) / total /
                                static_cast<double>(size->second));
        }
      });
  return Allocation{.since = since, .fractions = std::move(fractions)};
}

ShareTable::ShareTable(std::deque<Allocation> allocations)
    : in_use(std::move(allocations)) {}

void ShareTable::Update(const MemberTable& members, const Allocation& latest) {
  if (this->in_use.empty() ||
      this->in_use.back().fractions != latest.fractions) {
    this->in_use.push_back(latest);
  }
  while (this->in_use.size() > 1 &&
         IsConfirmed(members, this->in_use[0], this->in_use[1])) {
    this->in_use.pop_front();
  }
}

double ShareTable::FractionOf(const HostId& host) const {
  if (this->in_use.empty()) {
    return 0;
  }
  return std::ranges::min(this->in_use |
                          std::views::transform([&](const Allocation& a) {
                            return PartOf(a, host);
                          }));
}

}  // namespace cicadaloft
