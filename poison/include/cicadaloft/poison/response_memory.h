#ifndef CICADALOFT_POISON_RESPONSE_MEMORY_H_
#define CICADALOFT_POISON_RESPONSE_MEMORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include "cicadaloft/core/time.h"
#include "cicadaloft/poison/fingerprint.h"

namespace cicadaloft {

/// When a request with a fingerprint last got a complete response. Keeps the
/// most recent fingerprints, at least kCapacity of them.
class ResponseMemory {
 public:
  static constexpr std::size_t kCapacity = 8192;

  void Add(const Fingerprint& fingerprint, TimePoint now) {
    if (this->recent.size() >= kCapacity) {
      this->older = std::exchange(this->recent, {});
    }
    this->recent.insert_or_assign(fingerprint, now);
  }

  std::optional<TimePoint> Last(const Fingerprint& fingerprint) const {
    for (const auto* times : {&this->recent, &this->older}) {
      if (const auto found = times->find(fingerprint); found != times->end()) {
        return found->second;
      }
    }
    return std::nullopt;
  }

 private:
  std::map<Fingerprint, TimePoint> recent;
  std::map<Fingerprint, TimePoint> older;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_RESPONSE_MEMORY_H_
