#ifndef CICADALOFT_POISON_POISON_BLOCKS_H_
#define CICADALOFT_POISON_POISON_BLOCKS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/poison/poison_messages.h"

namespace cicadaloft {

/// The fingerprints whose requests are refused at present.
class PoisonBlocks {
 public:
  static constexpr std::size_t kMaxBlocks = 256;

  /// @return whether this changes which requests are refused.
  bool Apply(const PoisonBlock& block, TimePoint now);
  /// @return the first block whose fingerprints are all among those of the
  /// request, or none.
  std::optional<Fingerprints> Find(const Fingerprints& request,
                                   TimePoint now) const;
  /// @return the blocks with their remaining time.
  std::vector<PoisonBlock> List(TimePoint now) const;

 private:
  std::map<Fingerprints, TimePoint> blocked_until;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_POISON_POISON_BLOCKS_H_
