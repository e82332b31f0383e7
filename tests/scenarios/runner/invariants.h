#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_INVARIANTS_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_INVARIANTS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/tickets/messages.h"
#include "scenarios/runner/world.h"

namespace cicadaloft::scenarios {

/// Something that was changed by an accepted ticket, and when.
template <typename T>
struct Changed {
  T value;
  TimePoint at;
};

/// Checks the promises over what the stand-ins have seen, not over what the
/// code says of itself.
class Invariants {
 public:
  explicit Invariants(World& world) : world(world) {}

  /// Notes an accepted ticket.
  void OnAccepted(const Ticket& ticket, LogOffset offset);
  /// Runs during the scenario: memory, replicas, configuration in force.
  void CheckNow();
  /// Runs after the scenario: every request and every run.
  void CheckAtEnd();

 private:
  void CheckReplicas();
  void CheckInForce();
  void CheckAnswers();
  void CheckKeys(const std::vector<Run>& runs);
  void CheckRates(const std::vector<Run>& runs);
  void CheckOnce(const std::vector<Run>& runs);
  void CheckNewWork(const std::vector<Run>& runs);
  void CheckNotRun(const std::vector<Run>& runs);
  std::vector<Run> AllRuns() const;

  World& world;
  std::map<CustomerId, std::vector<Changed<Customer>>> customers;
  std::map<KeyId, CustomerId> keys;
  std::map<KeyId, TimePoint> withdrawn;
  std::map<ModelId, std::uint32_t> max_replicas;
  std::map<DataCentreId, Changed<bool>> out;
  std::map<TargetId, Changed<bool>> draining;
  std::vector<Changed<LogOffset>> accepted;
  std::set<std::pair<HostId, LogOffset>> reported;
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_INVARIANTS_H_
