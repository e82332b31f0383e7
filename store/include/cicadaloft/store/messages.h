#ifndef CICADALOFT_STORE_MESSAGES_H_
#define CICADALOFT_STORE_MESSAGES_H_

#include <compare>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// The newest record of one key.
struct KeyedRecord {
  const std::string key;
  const std::optional<std::string> value;  ///< None: the key has been dropped.

  friend auto operator<=>(const KeyedRecord&, const KeyedRecord&) = default;
  friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
};

/// All keys of a topic that have a record.
struct NewestRecords {
  const std::vector<KeyedRecord> records;
  const LogOffset end_offset;  ///< Reading on from here misses nothing.

  friend auto operator<=>(const NewestRecords&, const NewestRecords&) = default;
  friend bool operator==(const NewestRecords&, const NewestRecords&) = default;
};

/// Records in the order in which they were written.
struct LogRecords {
  const std::vector<std::string> records;
  const LogOffset next_offset;  ///< After the last of them.
  const LogOffset end_offset;   ///< Of the whole log when they were read.

  friend auto operator<=>(const LogRecords&, const LogRecords&) = default;
  friend bool operator==(const LogRecords&, const LogRecords&) = default;
};

/// The records that were asked for have been deleted.
struct LogTrimmed {
  const LogOffset first_offset;  ///< The first one that is left.

  friend auto operator<=>(const LogTrimmed&, const LogTrimmed&) = default;
  friend bool operator==(const LogTrimmed&, const LogTrimmed&) = default;
};

using LogReadOutcome = std::variant<LogRecords, LogTrimmed>;

struct Appended {
  const LogOffset offset;

  friend auto operator<=>(const Appended&, const Appended&) = default;
  friend bool operator==(const Appended&, const Appended&) = default;
};

/// The log does not end where the condition says; nothing has been written.
struct AppendConflict {
  const LogOffset end_offset;

  friend auto operator<=>(const AppendConflict&,
                          const AppendConflict&) = default;
  friend bool operator==(const AppendConflict&,
                         const AppendConflict&) = default;
};

using AppendOutcome = std::variant<Appended, AppendConflict>;

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_MESSAGES_H_
