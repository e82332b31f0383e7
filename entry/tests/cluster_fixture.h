#ifndef CICADALOFT_ENTRY_TESTS_CLUSTER_FIXTURE_H_
#define CICADALOFT_ENTRY_TESTS_CLUSTER_FIXTURE_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "entry_fixture.h"

namespace cicadaloft {

/// What goes wrong between hosts and at targets, each as a probability.
struct ClusterFaults {
  const double message_loss = 0;
  const double died_unstarted = 0;
  const double not_sent = 0;
  const double refused = 0;
};

/// Several entries on one virtual clock, with links that delay and lose, and
/// targets that answer after a while or fail. It counts what must hold.
class Cluster {
 public:
  Cluster(int hosts, std::uint64_t seed, const ClusterFaults& faults)
      : random(seed), faults(faults) {
    for (int i = 0; i < hosts; ++i) {
      const HostId host("h" + std::to_string(i));
      this->entries.emplace(
          host,
          EntryState(EntrySettings{.host = host, .data_centre = kDataCentre}));
      this->hosts.push_back(host);
    }
  }

  /// Gives the same records to all entries, and full buckets.
  void SetUp(std::vector<Item> items) {
    for (const HostId& host : this->hosts) {
      this->Handle(host, LinkChanged{.is_up = true});
      this->Relay(host, JoinRecord{.member = MemberOf(host),
                                   .data_centre = kDataCentre,
                                   .peer_address = "127.0.0.1:2"});
    }
    const HostId& writer = this->hosts[0];
    this->Relay(writer,
                TicketRecord{.ticket = Ticket{.number = TicketNumber(1),
                                              .author = "a",
                                              .items = std::move(items)}});
    this->ConfirmShares();
    for (const char* target : {"e1", "e2"}) {
      this->Relay(writer, TargetInstanceRecord{.target = TargetId(target),
                                               .instance = TargetInstance(1)});
      this->Relay(writer, PlacementRecord{.target = TargetId(target),
                                          .model = ModelId("m"),
                                          .instance = TargetInstance(1)});
      this->Relay(writer,
                  PlacementOutcomeRecord{.target = TargetId(target),
                                         .model = ModelId("m"),
                                         .instance = TargetInstance(1),
                                         .outcome = PlacementOutcome::kLoaded});
    }
    for (const HostId& host : this->hosts) {
      this->Deliver(
          host, host,
          ShareLease{.usable = true, .confirmed_at = LogOffset(1000)});
    }
  }

  void Arrive(const HostId& host, const RequestArrived& request) {
    ++this->arrived;
    this->Handle(host, request);
  }

  /// Lets time pass in ticks; what was due in between comes first.
  void Pass(Duration time) {
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kEntryTickInterval;
      while (!this->due.empty() && this->due.begin()->first <= this->now) {
        const auto [host, event] = this->due.begin()->second;
        this->due.erase(this->due.begin());
        if (const auto* end = std::get_if<AttemptEnded>(&event)) {
          this->CountEnd(*end);
        }
        this->Handle(host, event);
      }
      for (const HostId& host : this->hosts) {
        this->Handle(host, EntryTick{});
      }
    }
  }

  double Roll() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  std::vector<HostId> hosts;
  TimePoint now{seconds(100)};
  std::map<TargetId, int> running;
  std::map<TargetId, int> most_running;
  std::map<RequestId, int> answers;
  /// Requests by the time at which they were first sent.
  std::vector<TimePoint> first_sent;
  std::map<ErrorKind, int> refusals;
  int arrived = 0;
  int completed = 0;
  int messages = 0;
  Duration run_time = milliseconds(40);

 private:
  static Member MemberOf(const HostId& host) {
    return Member{.host = host, .incarnation = Incarnation(1)};
  }

  void Relay(const HostId& writer, RecordBody body) {
    const LogOffset at(this->next_offset++);
    const PlacedRecord placed{
        .offset = at,
        .record = LogRecord{.writer = MemberOf(writer),
                            .sequence = SequenceNumber(this->next_offset),
                            .body = std::move(body)}};
    for (const HostId& host : this->hosts) {
      this->Deliver(host, host,
                    RelayRecords{.records = {placed}, .next = at.Next()});
    }
  }

  /// Each host has applied all, so the last allocation is confirmed.
  void ConfirmShares() {
    std::vector<Renewal> renewals;
    std::ranges::transform(
        this->hosts, std::back_inserter(renewals), [&](const HostId& host) {
          return Renewal{.member = MemberOf(host),
                         .applied = LogOffset(this->next_offset)};
        });
    this->Relay(this->hosts[0], RenewRecord{.renewals = renewals});
  }

  void Deliver(const HostId& from, const HostId& to, LinkMessage message) {
    this->Handle(
        to, LinkReceived{.envelope = Envelope{.from = from,
                                              .to = to,
                                              .message = std::move(message)}});
  }

  void Handle(const HostId& host, const EntryEvent& event) {
    const auto place = this->entries.find(host);
    auto step = Decide(std::move(place->second), event, this->now);
    place->second = std::move(step.state);
    for (const EntryEffect& effect : step.effects) {
      std::visit([&](const auto& e) { this->Carry(host, e); }, effect);
    }
  }

  void Carry(const HostId& host, const Dispatch& dispatch) {
    if (dispatch.attempt == AttemptNumber(1)) {
      this->first_sent.push_back(this->now);
    }
    int& count = this->running[dispatch.target];
    ++count;
    this->most_running[dispatch.target] =
        std::max(this->most_running[dispatch.target], count);
    const AttemptOutcome outcome = this->DrawOutcome();
    const AttemptEnded end{.request = dispatch.request,
                           .attempt = dispatch.attempt,
                           .outcome = outcome,
                           .http_status = 200};
    this->targets.emplace(std::pair(dispatch.request, dispatch.attempt),
                          dispatch.target);
    this->due.emplace(this->now + this->run_time, std::pair(host, end));
  }

  void CountEnd(const AttemptEnded& end) {
    --this->running[this->targets.at(std::pair(end.request, end.attempt))];
    if (end.outcome == AttemptOutcome::kCompleted) {
      ++this->answers[end.request];
      ++this->completed;
    }
  }

  AttemptOutcome DrawOutcome() {
    const double roll = this->Roll();
    if (roll < this->faults.died_unstarted) {
      return AttemptOutcome::kDiedUnstarted;
    }
    if (roll < this->faults.died_unstarted + this->faults.not_sent) {
      return AttemptOutcome::kNotSent;
    }
    if (roll < this->faults.died_unstarted + this->faults.not_sent +
                   this->faults.refused) {
      return AttemptOutcome::kRefused;
    }
    return AttemptOutcome::kCompleted;
  }

  void Carry(const HostId&, const SendLink& send) {
    const Envelope& envelope = send.envelope;
    if (envelope.to.empty()) {
      return;
    }
    ++this->messages;
    if (this->Roll() < this->faults.message_loss) {
      return;
    }
    this->due.emplace(this->now + milliseconds(3),
                      std::pair(envelope.to, LinkReceived{envelope}));
  }

  void Carry(const HostId&, const Refuse& refuse) {
    ++this->answers[refuse.request];
    ++this->refusals[refuse.error.kind];
  }

  void Carry(const HostId&, const auto&) {}

  std::mt19937_64 random;
  ClusterFaults faults;
  std::map<HostId, EntryState> entries;
  std::multimap<TimePoint, std::pair<HostId, EntryEvent>> due;
  std::map<std::pair<RequestId, AttemptNumber>, TargetId> targets;
  std::uint64_t next_offset = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_CLUSTER_FIXTURE_H_
