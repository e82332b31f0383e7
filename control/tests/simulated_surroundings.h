#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_SURROUNDINGS_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_SURROUNDINGS_H_

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <vector>

#include "cicadaloft/configuration/active_configuration.h"
#include "cicadaloft/fleet/target_record.h"
#include "cicadaloft/lease/messages.h"
#include "sent_requests.h"

namespace cicadaloft {

/// The only target of a HostsSimulation.
inline TargetRecord MakeSimulatedTarget() {
  return TargetRecord{.id = TargetId("t"),
                      .service = ServiceId("s"),
                      .address = "10.0.0.1:1",
                      .data_centre = DataCentreId("dc"),
                      .slots = 1'000'000,
                      .instance = TargetInstance(1)};
}

/// One route to that target, and two customers with the same limit.
inline ActiveConfigurationPtr MakeSimulatedConfiguration(
    const SharedLimit& limit,
    const ColdRateLimit& cold_rate_limit,
    const std::optional<Scaling>& scaling = std::nullopt) {
  return std::make_shared<const ActiveConfiguration>(Configuration{
      .version = ConfigurationVersion(1),
      .routes = {Route{.id = RouteId("r"),
                       .hostname = "h",
                       .path_prefix = "/",
                       .timeout = seconds(10),
                       .latency_objective = milliseconds(300),
                       .caller_timeout = seconds(8),
                       .services = {{.service = ServiceId("s")}}}},
      .services = {{.id = ServiceId("s"),
                    .cold_requests_per_second = cold_rate_limit.rate_per_second,
                    .scaling = scaling}},
      .customers = {{.id = CustomerId("c"),
                     .keys = {"key"},
                     .is_limited_by_tokens = true,
                     .rate_per_second = limit.rate_per_second,
                     .burst = limit.burst},
                    {.id = CustomerId("other"),
                     .keys = {"other key"},
                     .is_limited_by_tokens = true,
                     .rate_per_second = limit.rate_per_second,
                     .burst = limit.burst}}});
}

/// The lease's log in the store.
class SimulatedLeaseLog {
 public:
  /// @return the host of the newest record; empty if there is none.
  HostId Holder() const {
    return this->entries.empty() ? HostId()
                                 : this->entries.back().record.holder;
  }

  /// Writes the record if the log ends where the append expects it.
  /// @param is_cut whether the host can't reach the log.
  LeaseAppendEnded Append(const AppendLeaseRecord& append,
                          bool is_cut,
                          TimePoint sent_at) {
    const bool is_written =
        !is_cut && append.expected_end == LogOffset(this->entries.size());
    if (is_written) {
      this->entries.push_back(
          {.offset = append.expected_end, .record = append.record});
    }
    return LeaseAppendEnded{
        .outcome = is_written ? LeaseAppendOutcome::kWritten
                   : is_cut   ? LeaseAppendOutcome::kRefused
                              : LeaseAppendOutcome::kConflict,
        .offset = append.expected_end,
        .sent_at = sent_at,
        .era = is_cut ? std::nullopt : std::optional(this->era)};
  }

  LeaseLogRead Read(LogOffset from) const {
    std::vector<LeaseLogEntry> read;
    std::ranges::copy_if(
        this->entries, std::back_inserter(read),
        [&](const LeaseLogEntry& entry) { return entry.offset >= from; });
    return LeaseLogRead{.entries = std::move(read),
                        .next_offset = LogOffset(this->entries.size()),
                        .era = this->era};
  }

  /// Of the store; a new one leaves all records where they are.
  StoreEra era;

 private:
  std::vector<LeaseLogEntry> entries;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_SURROUNDINGS_H_
