#ifndef CICADALOFT_STEWARD_TESTS_STEWARD_BENCH_H_
#define CICADALOFT_STEWARD_TESTS_STEWARD_BENCH_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/steward/steward_node.h"

namespace cicadaloft {

/// A few stewards before one log, driven event by event on a virtual clock.
/// Answers come at once unless a test switches a path off.
class StewardBench {
 public:
  explicit StewardBench(const std::vector<std::string>& hosts,
                        const std::string& data_centre = "dc");

  StewardState& at(const std::string& host) {
    return this->nodes.at(HostId(host));
  }
  std::set<HostId> hosts() const;
  void Add(const std::string& host,
           const std::string& data_centre,
           std::uint64_t incarnation = 1);
  /// Ends a steward's process without a word.
  void Kill(const std::string& host);

  /// Lets the time pass in ticks.
  void Run(Duration duration);
  /// Lets the time pass while the process of `host` is suspended; what comes
  /// for it meanwhile is waiting when it goes on.
  void RunWithout(const std::string& host, Duration duration);

  void Put(const std::string& host, const StewardEvent& event);
  void Submit(const std::string& host, const Ticket& ticket);
  /// Sends a message from the entry of `host` to its steward.
  void FromEntry(const std::string& host, const LinkMessage& message);
  /// Links or parts two hosts.
  void Link(const std::string& left, const std::string& right, bool is_up);

  /// @return the newest message of this type to the entry of `host`.
  template <typename Message>
  std::optional<Message> LastToEntry(const std::string& host) const {
    std::optional<Message> last;
    for (const auto& [to, message] : this->to_entries) {
      if (const auto* found = std::get_if<Message>(&message);
          found != nullptr && to == HostId(host)) {
        last.emplace(*found);
      }
    }
    return last;
  }

  std::uint64_t checkpoint_records = 2000;
  LogOffset first_kept;  ///< Older records of the log have expired.
  bool is_log_up = true;
  bool is_answer_lost = false;  ///< Appends take effect but seem to fail.
  std::set<HostId> cut_from_log;
  std::vector<PlacedRecord> log;
  std::vector<std::pair<HostId, OrderTarget>> orders;
  std::map<std::string, OrderOutcome> order_outcomes;  ///< By model.
  /// What each target reports; it carries out orders by itself.
  std::map<TargetId, TargetReport> reports;
  std::vector<TicketAnswer> answers;
  std::vector<DecisionLine> lines;
  std::vector<std::pair<HostId, LinkMessage>> to_entries;
  std::set<HostId> stopped;
  TimePoint now{std::chrono::hours(1)};

 private:
  struct Pending {
    HostId host;
    StewardEvent event;
  };

  bool ReachesLog(const HostId& host) const;
  void Take(const HostId& host, const StewardEffect& effect);
  void Append(const HostId& host, const AppendRecords& append);
  void CarryOut(const HostId& host, const OrderTarget& order);
  void AnswerAsEntry(const HostId& host, const LinkMessage& message);
  void AnswerReads();
  void Drain();

  std::map<HostId, StewardState> nodes;
  std::map<HostId, LogOffset> reads;  ///< Waiting for records.
  std::set<std::pair<HostId, HostId>> links;
  std::deque<Pending> queue;
  HostId suspended;
  std::deque<Pending> held;  ///< For the suspended host.
  std::uint64_t calls = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_TESTS_STEWARD_BENCH_H_
