#ifndef CICADALOFT_RESUMPTION_TESTS_ORIGIN_HOST_H_
#define CICADALOFT_RESUMPTION_TESTS_ORIGIN_HOST_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/resumption/origin_state.h"

namespace cicadaloft {

using OriginEffects = std::vector<OriginEffect>;

inline OriginRecord RecordOf(std::uint64_t stream,
                             const std::string& version = "v1") {
  return OriginRecord{.stream = {.high = 1, .low = stream},
                      .origin = {.service = ServiceId("s"),
                                 .software = SoftwareVersion(version)}};
}

inline RecordOrigin Begin(std::uint64_t ticket, const OriginRecord& record) {
  return RecordOrigin{.ticket = OriginTicket(ticket), .record = record};
}

inline LookUpOrigin Ask(const std::string& request, std::uint64_t stream) {
  return LookUpOrigin{.request = RequestId(request),
                      .stream = RecordOf(stream).stream};
}

inline OriginsRead Read(std::vector<OriginRecord> records,
                        std::uint64_t next,
                        std::uint64_t end,
                        std::uint64_t era = 0) {
  return OriginsRead{.records = std::move(records),
                     .next = LogOffset(next),
                     .end = LogOffset(end),
                     .era = StoreEra(era)};
}

inline OriginEffect ReadFrom(std::uint64_t offset) {
  return ReadOrigins{.from = LogOffset(offset)};
}

inline OriginEffect Recorded(std::uint64_t ticket, bool is_acknowledged) {
  return OriginRecorded{.ticket = OriginTicket(ticket),
                        .is_acknowledged = is_acknowledged};
}

inline OriginEffect Found(const std::string& request,
                          const OriginRecord& record,
                          OriginSource source,
                          Duration age = Duration::zero()) {
  return OriginLookedUp{
      .request = RequestId(request),
      .result =
          OriginFound{.origin = record.origin, .source = source, .age = age}};
}

inline OriginEffect NotRecorded(const std::string& request) {
  return OriginLookedUp{.request = RequestId(request),
                        .result = OriginNotRecorded{}};
}

inline OriginEffect Unreachable(const std::string& request) {
  return OriginLookedUp{.request = RequestId(request),
                        .result = OriginLogUnreachable{}};
}

/// An OriginState with its clock.
class OriginHost {
 public:
  OriginEffects Feed(const OriginEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    return std::move(step.effects);
  }

  void Pass(Duration time) { this->now += time; }

 private:
  OriginState state;
  TimePoint now{std::chrono::seconds(1000)};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_TESTS_ORIGIN_HOST_H_
