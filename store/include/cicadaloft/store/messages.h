#ifndef CICADALOFT_STORE_MESSAGES_H_
#define CICADALOFT_STORE_MESSAGES_H_

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// A record of a keyed topic; it sets or deletes the value of one key.
struct KeyedRecord {
  const std::string key;
  const std::optional<std::string> value;  ///< None: the key was deleted.

  friend auto operator<=>(const KeyedRecord&, const KeyedRecord&) = default;
  friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
};

/// The newest record of each key of a topic.
struct NewestRecords {
  const std::vector<KeyedRecord> records;
  const LogOffset end_offset;  ///< A read from here misses no record.
  const StoreEra era;
  const bool is_relayed = false;  ///< By another host, which has read them.

  friend auto operator<=>(const NewestRecords&, const NewestRecords&) = default;
  friend bool operator==(const NewestRecords&, const NewestRecords&) = default;
};

/// Consecutive records of a log, oldest first.
struct LogRecords {
  const std::vector<std::string> records;
  const LogOffset next_offset;  ///< Offset after the last of `records`.
  const LogOffset end_offset;   ///< End of the log at the time of the read.
  const StoreEra era;
  /// On this host's clock: at that time the log had no record after these. None
  /// if that isn't known.
  const std::optional<TimePoint> complete_at;

  friend auto operator<=>(const LogRecords&, const LogRecords&) = default;
  friend bool operator==(const LogRecords&, const LogRecords&) = default;
};

/// The log doesn't have the requested offset: it has been trimmed beyond it, or
/// the store has come back from a copy that ends before it.
struct LogTrimmed {
  const LogOffset first_offset;  ///< Of the oldest record that is left.
  const StoreEra era;

  friend auto operator<=>(const LogTrimmed&, const LogTrimmed&) = default;
  friend bool operator==(const LogTrimmed&, const LogTrimmed&) = default;
};

using LogReadOutcome = std::variant<LogRecords, LogTrimmed>;

/// @return the era that the answer states.
inline StoreEra EraOf(const LogReadOutcome& outcome) {
  return std::visit([](const auto& item) { return item.era; }, outcome);
}

struct Appended {
  const LogOffset offset;
  const StoreEra era;

  friend auto operator<=>(const Appended&, const Appended&) = default;
  friend bool operator==(const Appended&, const Appended&) = default;
};

/// The log doesn't end at the expected offset; nothing was written.
struct AppendConflict {
  const LogOffset end_offset;
  const StoreEra era;

  friend auto operator<=>(const AppendConflict&,
                          const AppendConflict&) = default;
  friend bool operator==(const AppendConflict&,
                         const AppendConflict&) = default;
};

using AppendOutcome = std::variant<Appended, AppendConflict>;

/// The store has answered a call of this host.
struct StoreEraSeen {
  StoreEra era;

  friend auto operator<=>(const StoreEraSeen&, const StoreEraSeen&) = default;
  friend bool operator==(const StoreEraSeen&, const StoreEraSeen&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_MESSAGES_H_
