#include "cicadaloft/resumption/known_origins.h"

#include <utility>

namespace cicadaloft {

bool KnownOrigins::IsValid(const StreamOrigin& origin) {
  const std::size_t name_bytes =
      origin.service.value().size() + origin.software.value().size();
  return !origin.service.empty() && !origin.software.empty() &&
         name_bytes <= kMaxNameBytes;
}

void KnownOrigins::Add(const OriginRecord& record,
                       OriginSource source,
                       TimePoint now) {
  if (Renew(this->contradictory, record.stream, now)) {
    return;
  }
  auto& by_key = this->known.get<ByKey>();
  const auto found = by_key.find(record.stream);
  const bool is_known = found != by_key.end();
  if (!IsValid(record.origin) || (is_known && found->origin != record.origin)) {
    if (is_known) {
      by_key.erase(found);
    }
    Insert(this->contradictory,
           Stream{.key = record.stream, .last_record_at = now},
           kMaxContradictoryStreams);
    return;
  }
  if (!is_known) {
    Insert(this->known,
           Stream{.key = record.stream,
                  .origin = record.origin,
                  .source = source,
                  .known_since = now,
                  .last_record_at = now},
           kMaxStreams);
    return;
  }
  Renew(this->known, record.stream, now);
  if (source == OriginSource::kThisHost) {
    by_key.modify(
        found, [](Stream& stream) { stream.source = OriginSource::kThisHost; });
  }
}

std::optional<OriginResult> KnownOrigins::Find(const StreamKey& stream,
                                               TimePoint now) const {
  if (this->contradictory.get<ByKey>().contains(stream)) {
    return OriginNotRecorded{};
  }
  const auto& by_key = this->known.get<ByKey>();
  const auto found = by_key.find(stream);
  if (found == by_key.end()) {
    return std::nullopt;
  }
  return OriginFound{.origin = found->origin,
                     .source = found->source,
                     .age = now - found->known_since};
}

std::vector<OriginRecord> KnownOrigins::OwnRecords() const {
  std::vector<OriginRecord> own;
  for (const Stream& stream : this->known) {
    if (stream.source == OriginSource::kThisHost) {
      own.push_back({.stream = stream.key, .origin = stream.origin});
    }
  }
  return own;
}

void KnownOrigins::DropExpired(TimePoint now) {
  DropExpired(this->known, now);
  DropExpired(this->contradictory, now);
}

void KnownOrigins::Insert(Streams& streams,
                          Stream stream,
                          std::size_t max_streams) {
  streams.push_back(std::move(stream));
  if (streams.size() > max_streams) {
    streams.pop_front();
  }
}

bool KnownOrigins::Renew(Streams& streams,
                         const StreamKey& key,
                         TimePoint now) {
  auto& by_key = streams.get<ByKey>();
  const auto found = by_key.find(key);
  if (found == by_key.end()) {
    return false;
  }
  by_key.modify(found, [now](Stream& stream) { stream.last_record_at = now; });
  streams.relocate(streams.end(), streams.project<0>(found));
  return true;
}

void KnownOrigins::DropExpired(Streams& streams, TimePoint now) {
  while (!streams.empty() &&
         now - streams.front().last_record_at >= kRetention) {
    streams.pop_front();
  }
}

}  // namespace cicadaloft
