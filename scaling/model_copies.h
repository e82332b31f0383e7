#ifndef CICADALOFT_SCALING_MODEL_COPIES_H_
#define CICADALOFT_SCALING_MODEL_COPIES_H_

#include <cstdint>
#include <map>
#include <set>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// Which models are in use, according to the hosts.
class ModelsInUse {
 public:
  void Add(const ModelUsageReport& report, TimePoint now);
  /// @return models that hosts have used recently.
  std::set<ModelId> At(TimePoint now) const;

 private:
  std::map<ModelId, TimePoint> last_use;
};

/// Copies (loaded, in host memory or on disk) of the models in use. Targets
/// that leave or whose data centre is evacuated have none.
struct ModelCopies {
  /// By data centre, how many targets have the only copy of a model.
  std::map<DataCentreId, std::uint32_t> only_holders;
  std::set<ModelId> held;  ///< Models with a copy.
};

ModelCopies FindModelCopies(const Fleet& fleet,
                            const ServiceId& service,
                            const std::set<DataCentreId>& evacuated,
                            const std::set<ModelId>& models_in_use);

}  // namespace cicadaloft

#endif  // CICADALOFT_SCALING_MODEL_COPIES_H_
