#ifndef CICADALOFT_RESUMPTION_KNOWN_ORIGINS_H_
#define CICADALOFT_RESUMPTION_KNOWN_ORIGINS_H_

#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/resumption/messages.h"
#include "cicadaloft/resumption/stream_origin.h"

namespace cicadaloft {

using OriginResult = decltype(OriginLookedUp::result);

/// The origins of streams that a host knows. A stream with contradictory
/// records is unknown.
class KnownOrigins {
 public:
  /// With one origin.
  static constexpr std::size_t kMaxStreams = 32'768;
  static constexpr std::size_t kMaxContradictoryStreams = 8192;
  /// Counted from the last record of the stream.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  /// Of the names of service and version together. With longer ones, a batch of
  /// records would exceed the limits of their decoder.
  static constexpr std::size_t kMaxNameBytes = 256;

  /// @return whether the origin names a service and a version, within
  /// kMaxNameBytes. A stream with another origin is unknown.
  static bool IsValid(const StreamOrigin& origin);

  /// @param source where the record comes from.
  void Add(const OriginRecord& record, OriginSource source, TimePoint now);

  /// @return the reply to a question for the stream; none if it has no record.
  std::optional<OriginResult> Find(const StreamKey& stream,
                                   TimePoint now) const;

  /// @return the origins that were recorded by this host, those with the oldest
  /// last records first.
  std::vector<OriginRecord> OwnRecords() const;

  /// Drops the streams whose last record is older than kRetention.
  void DropExpired(TimePoint now);

 private:
  struct Stream {
    StreamKey key;
    StreamOrigin origin;
    OriginSource source = OriginSource::kLog;
    TimePoint known_since{};
    TimePoint last_record_at{};
  };
  struct ByKey {};
  /// In the order of the last records.
  using Streams = boost::multi_index_container<
      Stream,
      boost::multi_index::indexed_by<
          boost::multi_index::sequenced<>,
          boost::multi_index::ordered_unique<
              boost::multi_index::tag<ByKey>,
              boost::multi_index::member<Stream, StreamKey, &Stream::key>>>>;

  /// Drops the oldest stream if there are more than `max_streams`.
  static void Insert(Streams& streams, Stream stream, std::size_t max_streams);
  /// @return whether the stream is among them.
  static bool Renew(Streams& streams, const StreamKey& key, TimePoint now);
  static void DropExpired(Streams& streams, TimePoint now);

  Streams known;
  /// Kept apart, so that other streams don't displace them: a stream whose
  /// contradiction is forgotten would be known again by a repeated record.
  Streams contradictory;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_KNOWN_ORIGINS_H_
