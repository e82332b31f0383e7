#include "cicadaloft/detour/probe_choice.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace cicadaloft {

std::vector<ProbeCandidate> ChooseProbes(std::vector<ProbeCandidate> candidates,
                                         std::size_t count) {
  std::vector<ProbeCandidate> chosen;
  std::map<DataCentreId, std::size_t> data_centres;
  std::map<ServiceId, std::size_t> services;
  std::map<std::string, std::size_t> addresses;
  while (chosen.size() < count && !candidates.empty()) {
    const auto best =
        std::ranges::min_element(candidates, {}, [&](const auto& candidate) {
          return std::tuple(
              data_centres[candidate.data_centre], candidate.has_failed,
              addresses[candidate.address] + services[candidate.service],
              -candidate.reached_at.time_since_epoch(), candidate.target);
        });
    ++data_centres[best->data_centre];
    ++services[best->service];
    ++addresses[best->address];
    chosen.push_back(std::move(*best));
    candidates.erase(best);
  }
  return chosen;
}

}  // namespace cicadaloft
