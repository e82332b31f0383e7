#ifndef CICADALOFT_ENTRY_PATH_H_
#define CICADALOFT_ENTRY_PATH_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "cicadaloft/admission/fair_queue.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/routing/target_view.h"
#include "open_request.h"

namespace cicadaloft {

using PathKey = std::variant<ModelId, RouteId>;

/// @return the path of a call.
PathKey PathKeyOf(const Call& call);

/// One model or plain service: its waiting requests and the targets for them.
struct Path {
  PathKey key;
  std::uint64_t number = 0;  ///< In the order of first use.
  FairQueue<OpenRequest*> queue;
  /// Targets that hold the model, as of `version`.
  std::vector<TargetView*> local;
  std::vector<TargetView*> regional;  ///< In other data centres.
  std::uint64_t version = 0;
  bool is_registered = false;  ///< Its targets know that it waits.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_PATH_H_
