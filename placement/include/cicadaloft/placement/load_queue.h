#ifndef CICADALOFT_PLACEMENT_LOAD_QUEUE_H_
#define CICADALOFT_PLACEMENT_LOAD_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"

namespace cicadaloft {

/// What all hosts together want of one model.
struct ModelWanted {
  const ModelId model;
  const std::uint32_t interactive = 0;  ///< Requests that wait.
  const std::uint32_t batch = 0;
  const Duration oldest_wait{};
  const std::vector<HostId> hosts;  ///< Where they wait.

  friend auto operator<=>(const ModelWanted&, const ModelWanted&) = default;
  friend bool operator==(const ModelWanted&, const ModelWanted&) = default;
};

/// The hosts' newest demands. A demand that is not told again soon is over.
class LoadQueue {
 public:
  /// Takes a host's demands in place of its older ones for these models.
  void Take(const HostId& host,
            const std::vector<ModelDemand>& demands,
            TimePoint now);

  /// Forgets demands that were not told again.
  void Expire(TimePoint now);

  /// @return the models that requests wait for.
  std::vector<ModelWanted> Waiting(TimePoint now) const;

  /// @return whether requests for the model wait or run anywhere.
  bool IsInUse(const ModelId& model) const;

 private:
  struct Told {
    const ModelDemand demand;
    const TimePoint at;
  };

  std::map<ModelId, std::map<HostId, Told>> models;
};

/// @return expected wait saved per second of load, to compare with others.
/// @param load_cost how long the load takes, in any unit.
double WaitSaved(const ModelWanted& wanted, double load_cost);

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_LOAD_QUEUE_H_
