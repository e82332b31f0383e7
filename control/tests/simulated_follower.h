#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_FOLLOWER_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_FOLLOWER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/relay/relay_reader.h"
#include "cicadaloft/relay/repeated_records.h"
#include "cicadaloft/store/topic_position.h"
#include "hosts_simulation.h"
#include "simulated_topic.h"

namespace cicadaloft {

/// Follows one topic on one host like a KeyedFollower on a RelayedStore, on the
/// virtual clock.
class SimulatedFollower {
 public:
  static constexpr Duration kLongPoll = milliseconds(3500);
  static constexpr Duration kCallTime = milliseconds(4);
  static constexpr Duration kRetryInterval = milliseconds(400);
  /// Interval at which a process that doesn't run is looked at again.
  static constexpr Duration kPauseCheckInterval = milliseconds(20);

  SimulatedFollower(HostsSimulation& hosts,
                    SimulatedTopic& topic,
                    HostId host,
                    const RelayedStoreSettings& settings)
      : hosts(&hosts), topic(&topic), host(std::move(host)), reader(settings) {}

  /// Reads a snapshot.
  void Start() {
    const std::uint64_t number = ++this->step_number;
    const TimePoint sent_at = this->hosts->Now();
    ++this->calls;
    this->hosts->Schedule(kCallTime, [this, number, sent_at] {
      if (number == this->step_number) {
        this->EndSnapshot(sent_at);
      }
    });
  }

  void OnInput(const RelayInput& input) {
    this->reader.OnInput(input);
    const auto* role = std::get_if<RelayRole>(&input);
    if (role != nullptr && role->is_reader) {
      this->Start();
    } else if (!this->is_calling) {
      this->Step();
    }
  }

  void OnReread(const RereadTopics& reread) {
    if (!this->position.HasReached(reread.era)) {
      this->Start();
    }
  }

  /// @return whether all records of the topic as it is now are known.
  bool IsUpToDate() const {
    return this->position.HasReached(this->topic->era) &&
           this->next == this->topic->End();
  }
  bool HasReached(StoreEra era) const { return this->position.HasReached(era); }
  /// @return the value of the newest record that is known.
  const std::string& newest_value() const { return this->value; }

  /// @return the highest age at which a record became known since the last
  /// call.
  Duration TakeHighestAge() {
    const bool is_behind = this->next < this->topic->End();
    const Duration pending =
        is_behind ? this->hosts->Now() - this->Record(this->next).written_at
                  : Duration::zero();
    return std::max(pending, std::exchange(this->highest_age, {}));
  }

  std::size_t calls = 0;

 private:
  static inline const std::string kRepeated = std::string(1, '\0');

  const SimulatedTopic::Record& Record(LogOffset offset) const {
    return this->topic->records.at(offset.value());
  }

  bool IsStoreReachable() const {
    return this->hosts->ReachesStore(this->host) && !this->topic->is_away;
  }

  // The store has answered.
  void OnAnswer() {
    this->reader.OnAnswer(this->topic->era);
    this->hosts->Feed(this->host, StoreEraSeen{.era = this->topic->era});
  }

  void EndSnapshot(TimePoint sent_at) {
    const SnapshotKind kind =
        this->IsStoreReachable()
            ? this->position.OnSnapshot(
                  NewestRecords{.end_offset = this->topic->End(),
                                .era = this->topic->era},
                  this->hosts->Now())
            : SnapshotKind::kOutdated;
    if (kind == SnapshotKind::kOutdated || kind == SnapshotKind::kOlder) {
      const std::uint64_t number = this->step_number;
      this->hosts->Schedule(kRetryInterval, [this, number] {
        if (number == this->step_number) {
          this->Start();
        }
      });
      return;
    }
    this->OnAnswer();
    this->next = this->position.next_offset();
    if (!this->topic->records.empty()) {
      this->value = this->topic->records.back().value;
    }
    this->EndCall(sent_at, {});
  }

  void Step() {
    const std::uint64_t number = ++this->step_number;
    if (!this->hosts->IsRunning(this->host)) {
      this->hosts->Schedule(kPauseCheckInterval,
                            [this, number] { this->StepIf(number); });
      return;
    }
    const RelayReadStep step = this->reader.Next(
        this->next, kLongPoll, this->deadline, this->hosts->Now());
    if (const auto* answer = std::get_if<AnswerFromRelay>(&step)) {
      this->Learn(answer->records);
      this->AdvanceTo(LogOffset(this->next.value() + answer->records.size()));
      this->deadline = this->hosts->Now() + kLongPoll;
      this->Step();
    } else if (const auto* wait = std::get_if<WaitForRelay>(&step)) {
      this->hosts->Schedule(
          std::max(Duration(1), wait->until - this->hosts->Now()),
          [this, number] { this->StepIf(number); });
    } else {
      this->Call(std::get<ReadFromStore>(step).wait, number);
    }
  }

  void StepIf(std::uint64_t number) {
    if (number == this->step_number && !this->is_calling) {
      this->Step();
    }
  }

  void Call(Duration wait, std::uint64_t number) {
    ++this->calls;
    this->is_calling = true;
    const TimePoint sent_at = this->hosts->Now();
    const auto answer = [this, number, sent_at] {
      this->hosts->Schedule(kCallTime, [this, number, sent_at] {
        if (number == this->step_number && this->is_calling) {
          this->EndRead(sent_at);
        }
      });
    };
    if (this->next < this->topic->End()) {
      answer();
    } else {
      this->topic->Wait(answer);
      this->hosts->Schedule(wait, answer);
    }
  }

  void EndRead(TimePoint sent_at) {
    if (!this->IsStoreReachable()) {
      this->EndFailedCall(sent_at);
      return;
    }
    this->OnAnswer();
    const bool is_restored =
        this->position.OnAnswer(this->topic->era) == EraChange::kNew;
    if (is_restored || this->next > this->topic->End()) {
      this->is_calling = false;
      this->Start();
      return;
    }
    const LogOffset from = this->next;
    const LogOffset end = this->topic->End();
    std::vector<std::string> records;
    this->repeated.OnRead(this->topic->era, from, end.value() - from.value());
    for (std::uint64_t i = from.value(); i < end.value(); ++i) {
      const SimulatedTopic::Record& record = this->topic->records.at(i);
      records.push_back(this->repeated.IsRepeated(record.key, record.value)
                            ? kRepeated
                            : record.value);
    }
    this->Learn(records);
    this->AdvanceTo(end);
    this->EndCall(sent_at, StoreRead{.topic = this->topic->name,
                                     .from = from,
                                     .records = std::move(records),
                                     .sent_at = sent_at,
                                     .era = this->topic->era});
  }

  void EndFailedCall(TimePoint sent_at) {
    this->is_calling = false;
    this->reader.OnStoreCall(sent_at, this->hosts->Now());
    const std::uint64_t number = ++this->step_number;
    this->hosts->Schedule(kRetryInterval,
                          [this, number] { this->StepIf(number); });
  }

  void EndCall(TimePoint sent_at, StoreRead read) {
    this->is_calling = false;
    this->reader.OnStoreCall(sent_at, this->hosts->Now());
    if (read.topic.empty()) {
      read = StoreRead{.topic = this->topic->name,
                       .from = this->next,
                       .sent_at = sent_at,
                       .era = this->topic->era};
    }
    this->hosts->Feed(this->host, read);
    this->deadline = this->hosts->Now() + kLongPoll;
    this->Step();
  }

  // A record without content repeats the previous one of its key.
  void Learn(const std::vector<std::string>& records) {
    for (const std::string& record : records) {
      if (record != kRepeated) {
        this->value = record;
      }
    }
  }

  void AdvanceTo(LogOffset end) {
    for (; this->next < end; this->next = this->next.Next()) {
      this->highest_age =
          std::max(this->highest_age,
                   this->hosts->Now() - this->Record(this->next).written_at);
    }
  }

  HostsSimulation* hosts;
  SimulatedTopic* topic;
  HostId host;
  RelayReader reader;
  RepeatedRecords repeated;
  TopicPosition position;
  LogOffset next;
  std::string value;
  TimePoint deadline{};
  bool is_calling = false;
  std::uint64_t step_number = 0;
  Duration highest_age{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_FOLLOWER_H_
