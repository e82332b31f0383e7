#ifndef CICADALOFT_FLEET_TARGET_RECORD_H_
#define CICADALOFT_FLEET_TARGET_RECORD_H_

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/model_path.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// What a target reports about itself at one time.
struct TargetRecord {
  TargetId id;
  ServiceId service;
  std::string address;  ///< "IP:port".
  DataCentreId data_centre;
  std::uint32_t slots = 1;
  bool is_draining = false;
  /// How much longer the target tolerates only little work.
  Duration cold_remaining{};
  /// Number of the target's process; each start has a higher one.
  TargetInstance instance;
  SoftwareVersion software;
  std::vector<ModelPath> loaded;   ///< Sorted; models and adapters.
  std::vector<ModelId> in_memory;  ///< Sorted; copies in host memory.
  std::vector<ModelId> on_disk;    ///< Sorted; copies on the target's own disk.

  friend auto operator<=>(const TargetRecord&, const TargetRecord&) = default;
  friend bool operator==(const TargetRecord&, const TargetRecord&) = default;
};

using TargetRecordPtr = std::shared_ptr<const TargetRecord>;

/// The targets that are known to be alive. Immutable.
struct Fleet {
  std::map<TargetId, TargetRecordPtr> targets;
};

using FleetPtr = std::shared_ptr<const Fleet>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FLEET_TARGET_RECORD_H_
