#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

#include "entry_core.h"

namespace cicadaloft {
namespace {

/// Longest time that forwarded requests wait for a configuration, from when
/// this host began to be behind, or compares configurations with a host that
/// has it. A host that reaches the store has read it by then.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(500);

}  // namespace

void EntryCore::Handle(const ConfigurationHeard& heard) {
  this->lag.OnHeard(heard.version, this->now);
}

void EntryCore::Handle(const ConfigurationFollowed& followed) {
  this->follows_configuration = followed.is_followed;
}

void EntryCore::HearConfiguration(ConfigurationVersion version) {
  if (this->lag.OnHeard(version, this->now)) {
    this->effects.emplace_back(ConfigurationHeard{.version = version});
  }
}

// A host of an earlier version doesn't state by which configuration it has
// admitted a request. It may have the newest one.
bool EntryCore::IsOutdatedFor(const RequestArrived& arrived) const {
  return arrived.forwarded_by &&
         this->lag.adopted() < arrived.admitted_by.value_or(this->lag.newest());
}

bool EntryCore::IsVersionUnknowable(const RequestArrived& arrived) const {
  return arrived.forwarded_by && !arrived.admitted_by &&
         !this->follows_configuration;
}

void EntryCore::HoldForConfiguration(const RequestArrived& arrived,
                                     TimePoint arrived_at) {
  if (arrived.admitted_by) {
    this->HearConfiguration(*arrived.admitted_by);
  }
  this->CompareFor(arrived);
  const bool is_expected =
      arrived.admitted_by && this->alignment.IsExpecting(*arrived.admitted_by);
  const TimePoint waits_since =
      is_expected ? arrived_at : std::min(arrived_at, this->lag.since());
  const TimePoint expires_at = waits_since + kMaxConfigurationWait;
  if (this->now >= expires_at) {
    this->RefuseOutdated(arrived);
  } else {
    this->Hold(arrived, arrived_at, expires_at);
  }
}

// A host of an earlier version can't be compared with.
bool EntryCore::IsForwarderBehind(const RequestArrived& arrived) const {
  return arrived.admitted_by && !arrived.forwarder_address.empty() &&
         std::max(*arrived.admitted_by,
                  this->alignment.KnownVersion(*arrived.forwarded_by)) <
             this->lag.adopted();
}

bool EntryCore::HoldForForwarder(const RequestArrived& arrived,
                                 TimePoint arrived_at) {
  const TimePoint expires_at = arrived_at + kMaxConfigurationWait;
  if (this->now >= expires_at) {
    return false;
  }
  this->CompareFor(arrived);
  if (!this->alignment.IsRunning(*arrived.forwarded_by)) {
    return false;
  }
  this->Hold(arrived, arrived_at, expires_at);
  return true;
}

void EntryCore::Hold(const RequestArrived& arrived,
                     TimePoint arrived_at,
                     TimePoint expires_at) {
  this->held_arrivals.emplace(arrived.request,
                              HeldArrival{.arrival = arrived,
                                          .arrived_at = arrived_at,
                                          .expires_at = expires_at});
}

void EntryCore::ReleaseHeldArrivals() {
  for (const auto& [id, held] : std::exchange(this->held_arrivals, {})) {
    this->TakeArrival(held.arrival, held.arrived_at);
  }
}

void EntryCore::EndExpiredArrivals() {
  std::vector<HeldArrival> expired;
  std::ranges::copy_if(
      this->held_arrivals | std::views::values, std::back_inserter(expired),
      [this](const HeldArrival& held) { return this->now >= held.expires_at; });
  for (const HeldArrival& held : expired) {
    this->held_arrivals.erase(held.arrival.request);
    this->TakeArrival(held.arrival, held.arrived_at);
  }
}

void EntryCore::RefuseOutdated(const RequestArrived& arrived) {
  this->RefuseArrival(
      arrived,
      Refusal{MakeError(ErrorKind::kOutdatedConfiguration,
                        "this host waits for the configuration by "
                        "which another one has admitted the request")});
}

void EntryCore::RefuseAsBehind(const RequestArrived& arrived) {
  this->RefuseArrival(
      arrived, Refusal{MakeError(ErrorKind::kOutdatedConfiguration,
                                 "the newer configuration that another host "
                                 "has may have the request's route or key")});
}

}  // namespace cicadaloft
