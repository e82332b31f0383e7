#include "cicadaloft/relay/relay_intervals.h"

#include <cstdint>

#include "cicadaloft/core/rendezvous.h"

namespace cicadaloft {
namespace {

/// Intervals are numbers of fortieths of the drain time.
constexpr int kUnitsPerDrainTime = 40;

/// The minimum interval between two reads of the registry by a host to which
/// nothing is relayed. Changes of targets within it are read together. The
/// remaining 26 units allow for slow hosts and for requests that are on their
/// way to the target.
constexpr int kRegistryIntervalUnits = 14;
/// The lease holder reads the registry as often as it relays. Its reads of the
/// operator's topic wait longer. So what other hosts know is at most 14 units
/// old; at 17 to 18 they read by themselves, not all at once, which leaves 22
/// for that and for requests that are on their way.
constexpr int kRelayIntervalUnits = 4;
constexpr int kOperatorReaderIntervalUnits = 2;
constexpr int kOperatorReaderWaitUnits = 6;
constexpr int kMaxRelayAgeUnits = 18;

Duration Units(Duration drain_time, int count) {
  return drain_time * count / kUnitsPerDrainTime;
}

// Spread by host: otherwise all hosts would call the store at the same moment
// when relays end.
Duration MaxRelayAge(Duration drain_time, const HostId& host) {
  constexpr std::uint64_t kSteps = 64;
  const auto step = static_cast<Duration::rep>(
      StableHash("relay age " + host.value()) % kSteps);
  return Units(drain_time, kMaxRelayAgeUnits) -
         Units(drain_time, 1) * step / static_cast<Duration::rep>(kSteps);
}

}  // namespace

Duration RelayInterval(Duration drain_time) {
  return Units(drain_time, kRelayIntervalUnits);
}

RelayedStoreSettings RegistryReadSettings(Duration drain_time,
                                          const HostId& host) {
  return RelayedStoreSettings{
      .min_read_interval = Units(drain_time, kRegistryIntervalUnits),
      .reader_interval = RelayInterval(drain_time),
      .reader_wait = RelayInterval(drain_time),
      .max_relay_age = MaxRelayAge(drain_time, host)};
}

RelayedStoreSettings OperatorReadSettings(Duration drain_time,
                                          const HostId& host) {
  return RelayedStoreSettings{
      .reader_interval = Units(drain_time, kOperatorReaderIntervalUnits),
      .reader_wait = Units(drain_time, kOperatorReaderWaitUnits),
      .max_relay_age = MaxRelayAge(drain_time, host)};
}

}  // namespace cicadaloft
