#ifndef CICADALOFT_RESUMPTION_MESSAGES_H_
#define CICADALOFT_RESUMPTION_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/resumption/stream_origin.h"
#include "cicadaloft/store/messages.h"

namespace cicadaloft {

/// Identifies a request for a record; unique in this process.
using OriginTicket = Number<struct OriginTicketTag>;

/// A target has begun to respond with a stream. OriginRecorded follows.
struct RecordOrigin {
  OriginTicket ticket;
  OriginRecord record;

  friend auto operator<=>(const RecordOrigin&, const RecordOrigin&) = default;
  friend bool operator==(const RecordOrigin&, const RecordOrigin&) = default;
};

/// A caller takes a stream up again. OriginLookedUp follows.
struct LookUpOrigin {
  RequestId request;  ///< The request that takes it up.
  StreamKey stream;

  friend auto operator<=>(const LookUpOrigin&, const LookUpOrigin&) = default;
  friend bool operator==(const LookUpOrigin&, const LookUpOrigin&) = default;
};

/// Where an origin is known from.
enum class OriginSource {
  kThisHost,  ///< It began here, in this process.
  kLog,       ///< The log of origins in the store.
};

/// @return a stable token, for logs.
std::string_view ToString(OriginSource source);

struct OriginFound {
  StreamOrigin origin;
  OriginSource source = OriginSource::kLog;
  Duration age{};  ///< Since this host has known it.

  friend auto operator<=>(const OriginFound&, const OriginFound&) = default;
  friend bool operator==(const OriginFound&, const OriginFound&) = default;
};
/// A read of the log that was sent after the request has no record of it.
struct OriginNotRecorded {
  friend auto operator<=>(const OriginNotRecorded&,
                          const OriginNotRecorded&) = default;
  friend bool operator==(const OriginNotRecorded&,
                         const OriginNotRecorded&) = default;
};
/// The store could not be read.
struct OriginLogUnreachable {
  friend auto operator<=>(const OriginLogUnreachable&,
                          const OriginLogUnreachable&) = default;
  friend bool operator==(const OriginLogUnreachable&,
                         const OriginLogUnreachable&) = default;
};

/// The reply to LookUpOrigin.
struct OriginLookedUp {
  RequestId request;
  std::variant<OriginFound, OriginNotRecorded, OriginLogUnreachable> result;

  friend auto operator<=>(const OriginLookedUp&,
                          const OriginLookedUp&) = default;
  friend bool operator==(const OriginLookedUp&,
                         const OriginLookedUp&) = default;
};

/// The reply to RecordOrigin.
struct OriginRecorded {
  OriginTicket ticket;
  /// False: the store has not acknowledged it, and the stream may be taken up
  /// only while this process lives.
  bool is_acknowledged = false;

  friend auto operator<=>(const OriginRecorded&,
                          const OriginRecorded&) = default;
  friend bool operator==(const OriginRecorded&,
                         const OriginRecorded&) = default;
};

/// Appends the records to the log of origins. OriginAppendEnded follows.
struct AppendOrigins {
  std::vector<OriginRecord> records;

  friend auto operator<=>(const AppendOrigins&, const AppendOrigins&) = default;
  friend bool operator==(const AppendOrigins&, const AppendOrigins&) = default;
};

/// Reads the log of origins. OriginsRead, OriginsTrimmed or OriginReadFailed
/// follows.
struct ReadOrigins {
  LogOffset from;

  friend auto operator<=>(const ReadOrigins&, const ReadOrigins&) = default;
  friend bool operator==(const ReadOrigins&, const ReadOrigins&) = default;
};

struct OriginAppendEnded {
  bool is_acknowledged = false;
  StoreEra era;  ///< Of the acknowledgement.

  friend auto operator<=>(const OriginAppendEnded&,
                          const OriginAppendEnded&) = default;
  friend bool operator==(const OriginAppendEnded&,
                         const OriginAppendEnded&) = default;
};

struct OriginsRead {
  std::vector<OriginRecord> records;
  LogOffset next;  ///< After the last of them.
  LogOffset end;   ///< Of the log at the time of the read.
  StoreEra era;

  friend auto operator<=>(const OriginsRead&, const OriginsRead&) = default;
  friend bool operator==(const OriginsRead&, const OriginsRead&) = default;
};

/// The log doesn't hold the requested offset; it holds those from `first` on.
struct OriginsTrimmed {
  LogOffset first;
  StoreEra era;

  friend auto operator<=>(const OriginsTrimmed&,
                          const OriginsTrimmed&) = default;
  friend bool operator==(const OriginsTrimmed&,
                         const OriginsTrimmed&) = default;
};

struct OriginReadFailed {
  friend auto operator<=>(const OriginReadFailed&,
                          const OriginReadFailed&) = default;
  friend bool operator==(const OriginReadFailed&,
                         const OriginReadFailed&) = default;
};

using OriginEvent = std::variant<RecordOrigin,
                                 LookUpOrigin,
                                 OriginAppendEnded,
                                 OriginsRead,
                                 OriginsTrimmed,
                                 OriginReadFailed,
                                 StoreEraSeen>;

using OriginEffect =
    std::variant<AppendOrigins, ReadOrigins, OriginRecorded, OriginLookedUp>;

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_MESSAGES_H_
