#ifndef CICADALOFT_CONTROL_TESTS_WORLD_HOST_H_
#define CICADALOFT_CONTROL_TESTS_WORLD_HOST_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/entry/entry_node.h"
#include "sent_requests.h"

namespace cicadaloft {

/// Entry and control of one host, as long as its machine is there.
struct WorldHost {
  WorldHost(std::size_t number, const LimitOfAll& limit)
      : number(number), id("h" + std::to_string(number)) {
    this->Restart(limit);
  }

  /// A new process, which knows nothing of the one before.
  void Restart(const LimitOfAll& limit) {
    ++this->process;
    this->control.emplace(
        LeaseSettings{
            .self = this->id,
            .address = "10.0.0.1:1",
            .secret = this->id.value() + "." + std::to_string(this->process)},
        kLimitWindow);
    this->entry.emplace(EntrySettings{.host = this->id,
                                      .data_centre = DataCentreId("dc"),
                                      .limit_overshoot = limit.overshoot,
                                      .limit_slack = limit.slack,
                                      .limit_window = kLimitWindow,
                                      .is_first_start = this->process == 1});
    this->holder.reset();
    this->costs.clear();
  }

  std::size_t number;
  HostId id;
  int process = 0;  ///< The number of its starts.
  std::optional<ControlState> control;
  std::optional<EntryState> entry;
  std::optional<HostId> holder;
  bool is_alive = true;
  bool is_cut = false;  ///< From the lease's log.
  bool has_links = true;
  std::map<RequestId, double> costs;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_WORLD_HOST_H_
