#define BOOST_TEST_MODULE origin_codec_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/resumption/origin_codec.h"
#include "cicadaloft/resumption/origin_state.h"
#include "generators.h"

namespace cicadaloft {
namespace {

OriginRecord DrawRecord() {
  return OriginRecord{
      .stream = {.high = Draw<std::uint64_t>(), .low = Draw<std::uint64_t>()},
      .origin = {.service = Draw<ServiceId>(),
                 .software = Draw<SoftwareVersion>()}};
}

std::vector<OriginRecord> DrawRecords() {
  std::vector<OriginRecord> records;
  DrawSeveral([&] { records.push_back(DrawRecord()); });
  return records;
}

// A host reads the records, and takes up and begins streams of the same keys.
void CheckStateGoesOn(const std::vector<OriginRecord>& records) {
  TimePoint now(std::chrono::seconds(1000));
  OriginState state;
  const auto feed = [&](const OriginEvent& event) {
    now += std::chrono::milliseconds(1);
    auto step = Decide(std::move(state), event, now);
    state = std::move(step.state);
    return std::move(step.effects);
  };
  feed(LookUpOrigin{.request = RequestId("r")});
  feed(OriginsRead{
      .records = records, .next = LogOffset(1), .end = LogOffset(1)});
  for (const OriginRecord& record : records) {
    feed(RecordOrigin{.ticket = OriginTicket(1), .record = record});
    const auto effects =
        feed(LookUpOrigin{.request = RequestId("r"), .stream = record.stream});
    RC_ASSERT(effects.size() == 1U);
    const auto& reply = std::get<OriginLookedUp>(effects.front());
    const auto* found = std::get_if<OriginFound>(&reply.result);
    RC_ASSERT(found == nullptr || found->origin == record.origin);
  }
}

// Guards against keys whose halves lose bits, and names that are changed.
RC_BOOST_PROP(RecordsRoundTrip, ()) {
  const std::vector<OriginRecord> records = DrawRecords();
  const auto decoded = DecodeOriginRecords(EncodeOriginRecords(records));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == records);
}

// Guards against processes that end because of an odd record of another writer,
// and against origins that are taken from one.
RC_BOOST_PROP(MutatedRecordsYieldRecordsOrErrorAndTheStateGoesOn, ()) {
  const auto decoded =
      DecodeOriginRecords(DrawMutation(EncodeOriginRecords(DrawRecords())));
  if (IsOk(decoded)) {
    CheckStateGoesOn(ValueOf(decoded));
  } else {
    RC_ASSERT(!ErrorOf(decoded).message.empty());
    RC_ASSERT(ErrorOf(decoded).kind == ErrorKind::kRecordMalformed);
  }
}

RC_BOOST_PROP(ArbitraryBytesYieldRecordsOrError, (const std::string& bytes)) {
  const auto decoded = DecodeOriginRecords(bytes);
  if (!IsOk(decoded)) {
    RC_ASSERT(!ErrorOf(decoded).message.empty());
  }
}

// Guards against a batch that a host appends and no host can read.
BOOST_AUTO_TEST_CASE(LargestBatchIsDecoded) {
  constexpr std::size_t kNameBytes = KnownOrigins::kMaxNameBytes / 2;
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  const OriginRecord largest{
      .stream = {.high = kMax, .low = kMax},
      .origin = {.service = ServiceId(std::string(kNameBytes, '\xff')),
                 .software = SoftwareVersion(std::string(kNameBytes, '\xff'))}};
  BOOST_TEST(KnownOrigins::IsValid(largest.origin));
  const std::vector<OriginRecord> records(OriginState::kMaxRecordsPerAppend,
                                          largest);
  const auto decoded = DecodeOriginRecords(EncodeOriginRecords(records));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_TEST((ValueOf(decoded) == records));
}

}  // namespace
}  // namespace cicadaloft
