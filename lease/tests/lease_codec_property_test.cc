#define BOOST_TEST_MODULE lease_codec_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "cicadaloft/lease/lease_codec.h"
#include "cicadaloft/lease/lease_state.h"
#include "generators.h"

namespace cicadaloft {
namespace {

using std::chrono::seconds;

LeaseRecord DrawRecord() {
  return LeaseRecord{
      .holder = HostId(*rc::gen::string<std::string>()),
      .address = *rc::gen::string<std::string>(),
      .secret = *rc::gen::string<std::string>(),
      // Up to the token of the highest era and offset.
      .token = FencingToken(
          *rc::gen::inRange<std::uint64_t>(0, (std::uint64_t{1} << 52U) + 1)),
      .is_released = *rc::gen::arbitrary<bool>(),
      .order_delay = Duration(*rc::gen::inRange<std::int64_t>(0, 1'000'000)),
      .host_count = *rc::gen::inRange<std::uint32_t>(0, 1'000'000)};
}

// A host reads the record and keeps deciding.
void CheckStateGoesOn(const LeaseRecord& record) {
  LeaseState state(LeaseSettings{
      .self = HostId("h"), .address = "10.0.0.1:1", .secret = "own"});
  TimePoint now(seconds(1000));
  const LeaseLogRead read{.entries = {{.record = record}},
                          .next_offset = LogOffset(1)};
  state = Decide(std::move(state), LeaseEvent(read), now).state;
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::milliseconds(100);
    state = Decide(std::move(state), LeaseEvent(LeaseTick{}), now).state;
  }
}

RC_BOOST_PROP(RecordRoundTrips, ()) {
  const LeaseRecord record = DrawRecord();
  const Result<LeaseRecord> decoded =
      DecodeLeaseRecord(EncodeLeaseRecord(record));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == record);
}

// Guards against processes that end because of an odd record of another writer.
RC_BOOST_PROP(MutatedRecordYieldsRecordOrErrorAndTheStateGoesOn, ()) {
  const std::string bytes = DrawMutation(EncodeLeaseRecord(DrawRecord()));
  const Result<LeaseRecord> decoded = DecodeLeaseRecord(bytes);
  if (IsOk(decoded)) {
    CheckStateGoesOn(ValueOf(decoded));
  } else {
    RC_ASSERT(!ErrorOf(decoded).message.empty());
  }
}

RC_BOOST_PROP(ArbitraryBytesYieldRecordOrError, (const std::string& bytes)) {
  const Result<LeaseRecord> decoded = DecodeLeaseRecord(bytes);
  if (!IsOk(decoded)) {
    RC_ASSERT(!ErrorOf(decoded).message.empty());
  }
}

}  // namespace
}  // namespace cicadaloft
