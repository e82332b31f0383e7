#include "request_fingerprints.h"

#include <algorithm>
#include <iterator>
#include <variant>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {

Fingerprints FingerprintsOf(const RequestArrived& arrival) {
  Fingerprints fingerprints;
  const auto add = [&](FingerprintKind kind, std::uint64_t hash) {
    fingerprints.push_back(Fingerprint{.kind = kind, .hash = hash});
  };
  if (arrival.fingerprint != 0) {
    add(FingerprintKind::kContent, arrival.fingerprint);
    add(FingerprintKind::kStartedContent, arrival.fingerprint);
  }
  std::ranges::for_each(arrival.prompt_segments, [&](std::uint64_t hash) {
    add(FingerprintKind::kPromptSegment, hash);
  });
  if (arrival.model) {
    if (arrival.model->IsAdapter()) {
      add(FingerprintKind::kAdapter, StableHash(arrival.model->ToString()));
    }
    add(FingerprintKind::kModel, StableHash(arrival.model->model.value()));
  }
  if (const auto* location = std::get_if<ByHostAndPath>(&arrival.destination)) {
    add(FingerprintKind::kPath,
        StableHash(location->host + '\n' + location->path));
  }
  std::ranges::sort(fingerprints);
  const auto repeated = std::ranges::unique(fingerprints);
  fingerprints.erase(repeated.begin(), repeated.end());
  return fingerprints;
}

}  // namespace cicadaloft
