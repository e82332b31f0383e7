#ifndef CICADALOFT_RELAY_RELAY_READER_H_
#define CICADALOFT_RELAY_RELAY_READER_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/relay/messages.h"
#include "cicadaloft/relay/relay_buffer.h"

namespace cicadaloft {

/// Intervals at which a host reads a topic of the store.
struct RelayedStoreSettings {
  /// Minimum time from the end of a read to the next one. Calls to the store
  /// are charged and rate limited, and changes that are written close together
  /// are read in one call.
  Duration min_read_interval{};
  /// Minimum time between the sending of two reads while this host reads for
  /// others.
  Duration reader_interval{};
  /// How long a read waits for a record while this host reads for others. The
  /// age of what they know counts from the sending of a read.
  Duration reader_wait{};
  /// Relayed knowledge of this age is no longer used.
  Duration max_relay_age{};
};

/// The read is answered with relayed records; there may be none.
struct AnswerFromRelay {
  std::vector<std::string> records;
  TimePoint complete_at{};  ///< The log had no further record then.
};

/// Nothing is due before this time unless a relayed message arrives.
struct WaitForRelay {
  TimePoint until{};
};

/// The store is read now.
struct ReadFromStore {
  Duration wait{};  ///< How long the store may wait for a record.
};

using RelayReadStep =
    std::variant<AnswerFromRelay, WaitForRelay, ReadFromStore>;

/// Decides for each read of one topic whether what another host relays answers
/// it, or the store has to be called.
class RelayReader {
 public:
  explicit RelayReader(const RelayedStoreSettings& settings)
      : settings(settings), buffer(settings.max_relay_age) {}

  /// A relayed snapshot of this age is no longer used.
  static constexpr Duration kMaxSnapshotAge = std::chrono::seconds(1);

  void OnInput(const RelayInput& input);
  /// @return whether a relayed snapshot can be taken.
  bool HasSnapshot(TimePoint now) const;
  /// @return a relayed snapshot that lacks nothing that this host has read, at
  /// most once each; none if there is none.
  std::optional<RelayedSnapshot> TakeSnapshot(TimePoint now);
  /// The log is read from here.
  void OnPosition(LogOffset from) { this->position = from; }
  /// The store has answered this host. Relayed records of another era don't
  /// follow on those that this host has read.
  void OnAnswer(StoreEra era) { this->era = std::max(this->era, era); }
  /// @return the era of what this host reads.
  StoreEra answer_era() const { return this->era; }
  /// A call of the store has ended.
  void OnStoreCall(TimePoint sent_at, TimePoint ended_at) {
    this->last_call_sent_at = sent_at;
    this->last_call_ended_at = ended_at;
    this->era_at_last_call = this->buffer.era();
  }

  /// @param from first record to read.
  /// @param wait how long the read may wait for a record.
  /// @param deadline the end of that wait.
  RelayReadStep Next(LogOffset from,
                     Duration wait,
                     TimePoint deadline,
                     TimePoint now) const;

 private:
  RelayedStoreSettings settings;
  RelayBuffer buffer;
  StoreEra era;  ///< The highest one of the store's answers to this host.
  /// The highest relayed one at the last call. A store that goes on stating a
  /// lower one is read at the usual interval.
  StoreEra era_at_last_call;
  std::optional<SnapshotReceived> snapshot;
  LogOffset position;  ///< Up to which this host has read in `era`.
  bool is_reader = false;
  TimePoint last_call_sent_at{};
  TimePoint last_call_ended_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_RELAY_READER_H_
