#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_FAKE_TARGET_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_FAKE_TARGET_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/entry/messages.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/steward/messages.h"
#include "cicadaloft/tickets/messages.h"
#include "scenarios/runner/virtual_time.h"

namespace cicadaloft::scenarios {

/// The weight store and the adapter path: slower in proportion beyond a number
/// of loads at once.
class FakeStore {
 public:
  /// @return the time that a load begun now takes.
  Duration Begin(bool is_adapter, std::uint32_t knee, Duration at_full_speed);
  void End(bool is_adapter);
  std::uint32_t PeakLoads() const { return this->peak_models; }

 private:
  std::uint32_t models = 0;
  std::uint32_t adapters = 0;
  std::uint32_t peak_models = 0;
};

/// A request that a target has begun to run.
struct Run {
  const TimePoint at;
  const TargetId target;
  const HostId host;
  const RequestId request;
  const CustomerId customer;
  const KeyId key;
  const std::string idempotency_key;
  const bool is_idempotent = true;

  friend bool operator==(const Run&, const Run&) = default;
};

/// A request as a target sees it.
struct TargetCall {
  const Run run;
  const std::optional<ModelId> model;
  const Duration work{};  ///< From the first byte to the whole answer.
  const bool is_poison = false;
};

/// What a target keeps of one loaded or loading model.
struct HeldModel {
  std::uint64_t memory_mib = 0;
  bool loaded = false;
};

/// A model engine or plain service on the virtual clock, with faults. It notes
/// what breaks the promises instead of defending itself against it.
class FakeTarget {
 public:
  using CallEnd = std::function<void(AttemptOutcome)>;

  FakeTarget(VirtualTime& time,
             FakeStore& store,
             const Target& target,
             const BackEnd& back_end,
             Duration load_time);

  /// Runs a call.
  /// @param started is called at the first byte, `ended` once, at the end.
  void Run(const TargetCall& call,
           std::function<void()> started,
           CallEnd ended);
  /// The caller has closed the connection; `ended` is still called.
  void Cancel(const RequestId& request);
  void CarryOut(const OrderTarget& order,
                std::function<void(OrderOutcome)> ended);
  /// @return the report of some time ago, or none from a dead target.
  std::optional<TargetReport> Report();

  void Crash();
  void SetDead(bool is_dead);
  void SetSlowness(double factor) { this->slowness = factor; }
  void LoseOrderAnswers(int count) { this->answers_to_lose = count; }

  const Target& target() const { return this->target_item; }
  std::uint64_t UsedMib() const;
  const std::map<ModelId, HeldModel>& models() const { return this->held; }
  const std::vector<scenarios::Run>& runs() const { return this->all_runs; }
  const std::vector<std::string>& violations() const { return this->broken; }
  std::size_t Running() const { return this->running.size(); }
  /// Time that the target held models and ran nothing, up to now.
  Duration IdleTime() const;

 private:
  struct RunningCall {
    std::uint64_t id;
    RequestId request;
    CallEnd ended;
    bool started;
  };

  void Finish(std::uint64_t id, AttemptOutcome outcome);
  void BreakAll();
  void NoteUse();
  TargetReport ReportNow() const;
  void Violation(const std::string& what);

  VirtualTime& time;
  FakeStore& store;
  const Target target_item;
  const BackEnd back_end;
  const Duration load_time;
  TargetInstance instance;
  std::map<ModelId, HeldModel> held;
  std::map<ModelId, CheckpointTier> checkpoints;
  FencingToken highest_token;
  std::deque<RunningCall> running;
  std::vector<scenarios::Run> all_runs;
  std::vector<std::string> broken;
  std::deque<std::pair<TimePoint, TargetReport>> reports;
  std::uint64_t next_id = 0;
  std::uint32_t good_answers = 0;
  double slowness = 1;
  int answers_to_lose = 0;
  bool is_dead = false;
  TimePoint idle_since;
  Duration idle_sum{};
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_FAKE_TARGET_H_
