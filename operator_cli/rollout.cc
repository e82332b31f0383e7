#include "cicadaloft/operator_cli/rollout.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace cicadaloft {

std::vector<HostId> LaggingHosts(const StatusReport& status, LogOffset offset) {
  if (status.next <= offset) {
    return {status.host};
  }
  std::vector<HostId> lagging;
  std::ranges::transform(
      status.members | std::views::filter([&](const MemberReport& member) {
        return member.applied <= offset;
      }),
      std::back_inserter(lagging), &MemberReport::host);
  return lagging;
}

}  // namespace cicadaloft
