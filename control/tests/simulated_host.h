#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_HOST_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_HOST_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/control/control_state.h"
#include "cicadaloft/entry/entry_state.h"
#include "sent_requests.h"

namespace cicadaloft {

struct SimulatedRequest {
  const RequestId id;
  const double cost = 0;
  const std::vector<std::uint64_t> prompt_segments;
  const std::uint64_t fingerprint = 0;
  const std::string credential = "key";

  friend auto operator<=>(const SimulatedRequest&,
                          const SimulatedRequest&) = default;
};

inline RequestArrived MakeArrival(const SimulatedRequest& request) {
  return RequestArrived{.request = request.id,
                        .caller_request_id = request.id,
                        .credential = request.credential,
                        .destination = ByHostAndPath{.host = "h", .path = "/x"},
                        .tokens = request.cost,
                        .prompt_segments = request.prompt_segments,
                        .timeout = seconds(10),
                        .fingerprint = request.fingerprint};
}

/// Entry and control of one simulated host, over all its processes.
struct SimulatedHost {
  SimulatedHost(std::size_t index,
                const SharedLimit& limit,
                bool orders_target_counts = false)
      : index(index),
        id("h" + std::to_string(index)),
        orders_target_counts(orders_target_counts) {
    this->Restart(limit);
  }

  /// Starts a new process without any state of the previous one.
  void Restart(const SharedLimit& limit) {
    ++this->process;
    this->control.emplace(LeaseSettings{.self = this->id,
                                        .address = "10.0.0.1:1",
                                        .secret = this->id.value() + "." +
                                                  std::to_string(this->process),
                                        .is_first_start = this->process == 1},
                          kLimitWindow, kDefaultRelayInterval, std::nullopt,
                          this->orders_target_counts, this->id.value() + ":1");
    this->entry.emplace(EntrySettings{.host = this->id,
                                      .data_centre = DataCentreId("dc"),
                                      .limit_overshoot = limit.overshoot,
                                      .limit_slack = limit.slack,
                                      .limit_window = kLimitWindow,
                                      .is_first_start = this->process == 1});
    this->holder.reset();
    this->costs.clear();
    this->relayed.clear();
    this->sees_draining_target = false;
    this->shares = SharesChanged();
  }

  /// @return whether the process is frozen; then the action runs when it
  /// resumes.
  bool Defers(std::function<void()> action) {
    if (this->is_frozen) {
      this->deferred.push_back(std::move(action));
    }
    return this->is_frozen;
  }

  /// Ends the freeze.
  void Resume() {
    this->is_frozen = false;
    for (const auto& action : std::exchange(this->deferred, {})) {
      action();
    }
  }

  std::size_t index;
  HostId id;
  bool orders_target_counts;
  int process = 0;  ///< Number of starts so far.
  std::optional<ControlState> control;
  std::optional<EntryState> entry;
  std::optional<HostId> holder;
  bool is_alive = true;
  bool is_frozen = false;
  std::vector<std::function<void()>> deferred;  ///< Until it resumes.
  bool is_cut_from_log = false;  ///< Cut off from the lease's log.
  bool has_links = true;
  std::map<RequestId, double> costs;
  std::map<std::string, RelayReceived> relayed;  ///< The newest of each topic.
  bool sees_draining_target = false;
  SharesChanged shares;  ///< As the entry was last told.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_HOST_H_
