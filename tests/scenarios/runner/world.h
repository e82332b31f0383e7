#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_WORLD_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_WORLD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/entry/entry_node.h"
#include "cicadaloft/steward/steward_node.h"
#include "scenarios/runner/fake_log.h"
#include "scenarios/runner/fake_target.h"
#include "scenarios/runner/request_book.h"
#include "scenarios/runner/virtual_time.h"

namespace cicadaloft::scenarios {

/// What became of a ticket, as its operator heard it.
struct HeardTicket {
  const Ticket ticket;
  const TimePoint at;
  const Result<TicketOutcome> outcome;
};

/// Several hosts, their targets and the platform in one thread, on a virtual
/// clock. The hosts run the very decisions that the daemons run.
class World {
 public:
  explicit World(std::uint64_t seed);

  VirtualTime& time() { return this->clock; }
  FakeLog& log() { return this->fake_log; }
  const FakeLog& log() const { return this->fake_log; }
  std::mt19937_64& random() { return this->random_source; }

  // Machines.
  void AddHost(const HostId& id, const DataCentreId& data_centre);
  void AddTarget(const Target& target,
                 const BackEnd& back_end,
                 Duration load_time);
  FakeTarget& TargetOf(const TargetId& id) { return *this->targets.at(id); }
  const std::map<TargetId, std::unique_ptr<FakeTarget>>& Targets() const {
    return this->targets;
  }

  // Faults.
  void Start(const HostId& id);
  void Kill(const HostId& id);
  void Freeze(const HostId& id);
  void Resume(const HostId& id);
  /// A planned stop of entry and steward.
  void Stop(const HostId& id);
  /// Cuts messages from one host, data centre or "log" to another.
  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  void SetListed(const HostId& id, bool is_listed);

  // Operators and callers.
  void Submit(const HostId& id, const Ticket& ticket);
  void Send(SentRequest request);
  /// @return a host that the balancer would choose now, or none.
  std::optional<HostId> ChooseHost(const std::set<HostId>& among);
  std::set<HostId> Hosts() const;
  std::set<HostId> HostsOf(const std::string& host_or_data_centre) const;

  // What has happened.
  const std::map<RequestId, SentRequest>& Requests() const {
    return this->requests;
  }
  const std::vector<HeardTicket>& HeardTickets() const { return this->heard; }
  const std::vector<std::string>& Violations() const { return this->broken; }
  void AddViolation(const std::string& what);
  bool IsRunning(const HostId& id) const;
  bool IsFrozen(const HostId& id) const { return this->At(id).is_frozen; }
  bool HasStopped(const HostId& id) const { return this->At(id).has_stopped; }
  bool IsCutFromLog(const HostId& id) const;
  /// @return since when the host could follow the log without a fault.
  TimePoint ActiveSince(const HostId& id) const {
    return this->At(id).active_since;
  }
  const StewardState& StewardOf(const HostId& id) const;
  const EntryState& EntryOf(const HostId& id) const;
  void SetTrace(bool is_on) { this->trace = is_on; }
  /// Called when a request has ended, for resends.
  std::function<void(const SentRequest&)> on_ended;

 private:
  struct Host {
    HostId id;
    DataCentreId data_centre;
    std::uint64_t incarnation = 0;
    bool is_up = false;
    bool is_frozen = false;
    bool is_listed = false;
    bool is_leaving = false;
    bool has_stopped = false;
    TimePoint frozen_at;
    TimePoint active_since;
    std::optional<EntryState> entry;
    std::optional<StewardState> steward;
    std::deque<VirtualTime::Action> backlog;
    std::map<HostId, std::string> held_links;
    std::set<HostId> links_up;
  };
  struct Attempt {
    HostId host;
    TargetId target;
    bool ended = false;
  };
  using AttemptKey = std::pair<RequestId, AttemptNumber>;

  Host& At(const HostId& id) { return this->hosts.at(id); }
  const Host& At(const HostId& id) const { return this->hosts.at(id); }

  // Delivery.
  void Later(const HostId& id, Duration delay, VirtualTime::Action action);
  void Give(const HostId& id, const EntryEvent& event);
  void Give(const HostId& id, const StewardEvent& event);
  void Do(Host& host, const EntryEffect& effect);
  void Do(Host& host, const StewardEffect& effect);
  void TickEntry(const HostId& id, std::uint64_t incarnation);
  void TickSteward(const HostId& id, std::uint64_t incarnation);
  void ReadHostList(const HostId& id, std::uint64_t incarnation);
  void ReadLogFor(Host& host, LogOffset from);
  void AppendFor(Host& host, const AppendRecords& append);

  // Links.
  bool IsCut(const std::string& from_host,
             const DataCentreId& from_data_centre,
             const std::string& to,
             const DataCentreId& to_data_centre) const;
  bool IsCut(const Host& from, const Host& to) const;
  void UpdateLinks();
  void SetLink(Host& from, Host& to, bool is_up);
  Duration DelayBetween(const DataCentreId& from, const DataCentreId& to);

  // Requests.
  void DoDispatch(Host& host, const Dispatch& dispatch);
  void EndAttempt(const AttemptKey& key, AttemptOutcome outcome);
  void EndRequest(const RequestId& id,
                  CallerSaw saw,
                  std::optional<ErrorKind> refused_with,
                  RunState state);
  void EndProcesses(const HostId& id);
  void LoseRequestsOf(const HostId& id);

  VirtualTime clock;
  FakeLog fake_log;
  FakeStore store;
  std::mt19937_64 random_source;
  std::map<HostId, Host> hosts;
  std::map<TargetId, std::unique_ptr<FakeTarget>> targets;
  std::set<std::pair<std::string, std::string>> cuts;
  std::map<RequestId, SentRequest> requests;
  std::map<AttemptKey, Attempt> attempts;
  std::map<std::uint64_t, Ticket> submitted;
  std::vector<HeardTicket> heard;
  std::vector<std::string> broken;
  std::uint64_t next_call = 1;
  bool trace = false;
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_WORLD_H_
