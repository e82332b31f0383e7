#ifndef CICADALOFT_RELAY_MESSAGES_H_
#define CICADALOFT_RELAY_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/store/messages.h"

namespace cicadaloft {

/// A host asks the lease holder to relay what the holder reads from the store.
struct RelayRequest {
  HostId host;
  std::uint64_t number = 0;  ///< Of the requests of this host.

  friend auto operator<=>(const RelayRequest&, const RelayRequest&) = default;
  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

/// The holder's answer, with which the host relates the holder's clock to its
/// own.
struct RelayWelcome {
  std::uint64_t request_number = 0;
  Duration holder_time{};  ///< On the holder's clock, when it answered.

  friend auto operator<=>(const RelayWelcome&, const RelayWelcome&) = default;
  friend bool operator==(const RelayWelcome&, const RelayWelcome&) = default;
};

/// Consecutive records of one topic.
struct RelayedTopic {
  std::string topic;
  LogOffset
      from;  ///< Of the first record; the end of the log if there is none.
  std::vector<std::string> records;
  /// On the holder's clock: the sending of a read of the log that returned all
  /// records after these. They were complete then.
  Duration complete_at{};
  /// Of the store when the records were read. 0 is left out on the wire, since
  /// hosts of the earlier version skip messages with fields that they don't
  /// know.
  StoreEra era;

  LogOffset End() const {
    return LogOffset(this->from.value() + this->records.size());
  }

  friend auto operator<=>(const RelayedTopic&, const RelayedTopic&) = default;
  friend bool operator==(const RelayedTopic&, const RelayedTopic&) = default;
};

/// What the lease holder has read since its last such message.
struct StoreRelay {
  std::vector<RelayedTopic> topics;

  friend auto operator<=>(const StoreRelay&, const StoreRelay&) = default;
  friend bool operator==(const StoreRelay&, const StoreRelay&) = default;
};

/// A host asks the lease holder for a snapshot of the operator's topic, which
/// the store doesn't answer it.
struct SnapshotRequest {
  HostId host;

  friend auto operator<=>(const SnapshotRequest&,
                          const SnapshotRequest&) = default;
  friend bool operator==(const SnapshotRequest&,
                         const SnapshotRequest&) = default;
};

/// The holder's answer: what it has read from the store for the request.
struct RelayedSnapshot {
  std::vector<KeyedRecord> records;  ///< The newest one of each key.
  LogOffset end;                     ///< A read from here misses no record.
  StoreEra era;

  friend auto operator<=>(const RelayedSnapshot&,
                          const RelayedSnapshot&) = default;
  friend bool operator==(const RelayedSnapshot&,
                         const RelayedSnapshot&) = default;
};

/// The read for hosts that have asked for a snapshot has ended.
struct SnapshotRead {
  std::optional<RelayedSnapshot> snapshot;  ///< None: the call has failed.

  friend auto operator<=>(const SnapshotRead&, const SnapshotRead&) = default;
  friend bool operator==(const SnapshotRead&, const SnapshotRead&) = default;
};

/// A snapshot from another host, with the time on this host's clock at which it
/// was received.
struct SnapshotReceived {
  RelayedSnapshot snapshot;
  TimePoint received_at{};

  friend auto operator<=>(const SnapshotReceived&,
                          const SnapshotReceived&) = default;
  friend bool operator==(const SnapshotReceived&,
                         const SnapshotReceived&) = default;
};

/// This host has read a topic from the store itself.
struct StoreRead {
  std::string topic;
  LogOffset from;
  std::vector<std::string> records;
  TimePoint sent_at{};  ///< When the call was sent.
  StoreEra era;

  friend auto operator<=>(const StoreRead&, const StoreRead&) = default;
  friend bool operator==(const StoreRead&, const StoreRead&) = default;
};

/// Records from another host, with the time on this host's clock at which they
/// were complete.
struct RelayReceived {
  RelayedTopic topic;
  TimePoint complete_at{};

  friend auto operator<=>(const RelayReceived&, const RelayReceived&) = default;
  friend bool operator==(const RelayReceived&, const RelayReceived&) = default;
};

/// Whether this host reads the store for others, and so at short intervals.
struct RelayRole {
  bool is_reader = false;

  friend auto operator<=>(const RelayRole&, const RelayRole&) = default;
  friend bool operator==(const RelayRole&, const RelayRole&) = default;
};

/// Messages to the task that follows a topic.
using RelayInput = std::variant<RelayReceived, RelayRole, SnapshotReceived>;

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_MESSAGES_H_
