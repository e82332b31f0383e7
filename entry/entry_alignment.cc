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
  this->effects.emplace_back(AnswerComparison{
      .request = arrived.request,
      .version = this->lag.adopted(),
      .newer = is_newer ? this->configuration : nullptr,
      .reaches_targets = this->reachability.links() != TargetLinks::kLost});
}

// One comparison brings a version to all requests that wait for it; each host
// that is behind needs one of its own.
void EntryCore::CompareFor(const RequestArrived& arrived) {
  if (!arrived.admitted_by || arrived.forwarder_address.empty()) {
    return;
  }
  const HostId& host = *arrived.forwarded_by;
  const bool is_sender = this->lag.adopted() > *arrived.admitted_by;
  const bool is_expected =
      !is_sender && this->alignment.IsExpecting(*arrived.admitted_by);
  if (is_expected || !this->alignment.MayBegin(host, this->now)) {
    return;
  }
  this->alignment.OnBegun(
      host, *arrived.admitted_by,
      is_sender ? this->lag.adopted() : ConfigurationVersion());
  this->effects.emplace_back(CompareConfigurations{
      .host = host,
      .address = arrived.forwarder_address,
      .version = this->lag.adopted(),
      .configuration = is_sender ? this->configuration : nullptr});
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
  if (compared.version) {
    this->helping_hosts.OnCompared(compared.host, compared.reaches_targets,
                                   this->now);
  } else {
    this->helping_hosts.Forget(compared.host);
  }
  this->ReleaseHeldArrivals();
  this->DetourWaitingRequests();
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
