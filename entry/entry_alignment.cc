#include <algorithm>
#include <string>
#include <utility>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {

void EntryCore::Handle(const ComparisonArrived& arrived) {
  if (arrived.configuration != nullptr) {
    this->AdoptFrom(arrived.host, arrived.configuration);
  }
  this->HearConfiguration(arrived.version);
  const bool is_newer = this->lag.adopted() > arrived.version;
  this->effects.emplace_back(
      AnswerComparison{.request = arrived.request,
                       .version = this->lag.adopted(),
                       .newer = is_newer ? this->configuration : nullptr});
}

void EntryCore::CompareFor(const RequestArrived& arrived) {
  const bool is_possible =
      arrived.admitted_by && !arrived.forwarder_address.empty();
  if (!is_possible || this->alignment.IsExpecting(*arrived.admitted_by) ||
      !this->alignment.MayBegin(*arrived.forwarded_by, this->now)) {
    return;
  }
  this->alignment.OnBegun(*arrived.forwarded_by, *arrived.admitted_by);
  this->effects.emplace_back(
      CompareConfigurations{.host = *arrived.forwarded_by,
                            .address = arrived.forwarder_address,
                            .version = this->lag.adopted(),
                            .configuration = nullptr});
}

void EntryCore::Handle(const ConfigurationsCompared& compared) {
  this->alignment.OnEnded(compared.host, compared.version, this->now);
  this->Log(
      event_names::kConfigurationsCompared, RequestId(),
      {{"host", compared.host.value()},
       {"configuration", this->lag.adopted().value()},
       {"host_configuration",
        compared.version ? std::to_string(compared.version->value()) : "-"},
       {"waiting", this->held_arrivals.size()}});
  if (compared.newer != nullptr) {
    this->AdoptFrom(compared.host, compared.newer);
  }
  if (!compared.version) {
    this->HoldAgain();
  }
}

// After a comparison that has failed: another host that has forwarded a request
// may have the configuration.
void EntryCore::HoldAgain() {
  for (const auto& [id, held] : std::exchange(this->held_arrivals, {})) {
    this->HoldForConfiguration(held.arrival, held.arrived_at);
  }
}

// The control task gets it as if it had been read from the store.
void EntryCore::AdoptFrom(const HostId& host,
                          const ActiveConfigurationPtr& received) {
  if (received->version() <= this->lag.adopted()) {
    return;
  }
  this->Log(event_names::kConfigurationReceived, RequestId(),
            {{"host", host.value()},
             {"version", received->version().value()},
             {"known", this->lag.adopted().value()}});
  this->effects.emplace_back(ConfigurationReceived{.configuration = received});
  this->Handle(ConfigurationChanged{.configuration = received});
}

}  // namespace cicadaloft
