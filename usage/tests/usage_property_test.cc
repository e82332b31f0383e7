#define BOOST_TEST_MODULE usage_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "cicadaloft/usage/usage_codec.h"
#include "generators.h"
#include "usage_simulation.h"

namespace cicadaloft {
namespace {

enum class Fault {
  kFreeze,
  kResume,
  kKill,
  kStart,
  kRelease,
  kCutFromStore,
  kCutFromHosts,
  kHeal,
  kLoseAppendAnswers,
  kLoseAppends,
  kDelayAppends,
  kFreezeAtCall,
  kLoseReportAnswers,
  kPlatformDown,
  kClockJump,
  kCopyStore,
  kStepBack,
  kCount,
};

void Apply(UsageSimulation& simulation, Fault fault, std::size_t index) {
  SimulatedUsageHost& host = simulation.At(index);
  switch (fault) {
    case Fault::kFreeze:
      if (host.is_alive) {
        simulation.Freeze(index);
      }
      break;
    case Fault::kResume:
      simulation.Resume(index);
      break;
    case Fault::kKill:
      simulation.Kill(index);
      break;
    case Fault::kStart:
      if (!host.is_alive) {
        simulation.Start(index);
      }
      break;
    case Fault::kRelease:
      if (host.is_alive && !host.is_frozen) {
        simulation.Release(index);
      }
      break;
    case Fault::kCutFromStore:
      host.is_cut_from_store = true;
      break;
    case Fault::kCutFromHosts:
      simulation.CutFromHosts(index, true);
      break;
    case Fault::kHeal:
      host.is_cut_from_store = false;
      simulation.CutFromHosts(index, false);
      break;
    case Fault::kLoseAppendAnswers:
      simulation.loses_append_answers = !simulation.loses_append_answers;
      break;
    case Fault::kLoseAppends:
      simulation.loses_appends = !simulation.loses_appends;
      break;
    case Fault::kDelayAppends:
      simulation.append_delay = milliseconds(*rc::gen::inRange(0, 4000));
      break;
    case Fault::kFreezeAtCall:
      simulation.on_connect = [&simulation](std::size_t caller) {
        simulation.on_connect = nullptr;
        if (simulation.At(caller).is_alive) {
          simulation.Freeze(caller);
        }
      };
      break;
    case Fault::kLoseReportAnswers:
      simulation.platform.loses_answers = !simulation.platform.loses_answers;
      break;
    case Fault::kPlatformDown:
      simulation.platform.is_down = !simulation.platform.is_down;
      break;
    case Fault::kClockJump:
      host.clock_error = milliseconds(*rc::gen::inRange(-9000, 9000));
      break;
    case Fault::kCopyStore:
      simulation.CopyStore();
      break;
    case Fault::kStepBack:
      // Without an era a step back can't be told from other records.
      if (simulation.era != StoreEra()) {
        simulation.StepBack();
      }
      break;
    case Fault::kCount:
      break;
  }
}

// Guards against a second content of a window, a lower token and holders that
// alternate, under any schedule of faults.
RC_BOOST_PROP(NoScheduleOfFaultsBreaksARule, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 7);
  UsageSimulation simulation(count);
  simulation.era = StoreEra(*rc::gen::inRange(0, 2));
  simulation.connect_time = milliseconds(*rc::gen::inRange(1, 400));
  simulation.RunFor(seconds(8));
  const int fault_count = *rc::gen::inRange(1, 25);
  for (int i = 0; i < fault_count; ++i) {
    // Most faults hit the holder.
    const std::size_t index = *rc::gen::arbitrary<bool>()
                                  ? simulation.Holder().value_or(0)
                                  : *rc::gen::inRange<std::size_t>(0, count);
    Apply(simulation,
          static_cast<Fault>(
              *rc::gen::inRange(0, static_cast<int>(Fault::kCount))),
          index);
    simulation.RunFor(milliseconds(*rc::gen::inRange(0, 6000)));
  }
  for (const std::string& violation : simulation.platform.violations) {
    RC_FAIL(violation);
  }
  // Each recorded window has one content, in order.
  const auto& records = simulation.usage_log.All();
  RC_ASSERT(std::ranges::adjacent_find(records, std::greater_equal<>(),
                                       &UsageRecord::window) == records.end());
}

UsageRecord DrawRecord() {
  return UsageRecord{
      .window = UsageWindow(*rc::gen::inRange<std::uint64_t>(1000, 2000)),
      .counts = {{CustomerId(*rc::gen::string<std::string>()),
                  *rc::gen::arbitrary<std::uint64_t>()}},
      .settled_before = UsageWindow(*rc::gen::inRange<std::uint64_t>(0, 1000))};
}

RC_BOOST_PROP(RecordRoundTrips, ()) {
  const UsageRecord record = DrawRecord();
  const KeyedRecord keyed = EncodeUsageRecord(record);
  RC_ASSERT(ParseUsageSlot(keyed.key) == UsageSlot(record.window));
  const Result<UsageRecord> decoded = DecodeUsageRecord(keyed.value.value());
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == record);
}

// Guards against processes that end because of an odd record of another writer.
RC_BOOST_PROP(MutatedRecordYieldsRecordOrError, ()) {
  const std::string bytes =
      DrawMutation(EncodeUsageRecord(DrawRecord()).value.value());
  const Result<UsageRecord> decoded = DecodeUsageRecord(bytes);
  if (!IsOk(decoded)) {
    RC_ASSERT(!ErrorOf(decoded).message.empty());
  }
}

RC_BOOST_PROP(ArbitraryBytesYieldRecordOrError, (const std::string& bytes)) {
  const Result<UsageRecord> decoded = DecodeUsageRecord(bytes);
  if (!IsOk(decoded)) {
    RC_ASSERT(!ErrorOf(decoded).message.empty());
  }
}

}  // namespace
}  // namespace cicadaloft
