#include "cicadaloft/control/control_state.h"

#include <utility>
#include <variant>

namespace cicadaloft {

Step<ControlState, ControlEffect> Decide(ControlState state,
                                         const ControlEvent& event,
                                         TimePoint now) {
  state.now = now;
  std::visit([&](const auto& item) { state.Take(item); }, event);
  std::vector<ControlEffect> effects = std::exchange(state.effects, {});
  return Step<ControlState, ControlEffect>{.state = std::move(state),
                                           .effects = std::move(effects)};
}

void ControlState::Take(const ConfigurationRead& read) {
  const bool is_older = this->configuration != nullptr &&
                        read.configuration->version() <=
                            this->configuration->version();
  if (!is_older) {
    this->configuration = read.configuration;
  }
  this->Tell(ConfigurationChanged{.configuration = read.configuration});
}

void ControlState::Take(const EvacuationAsked& evacuation) {
  if (evacuation.is_asked) {
    this->evacuated.insert(evacuation.data_centre);
  } else {
    this->evacuated.erase(evacuation.data_centre);
  }
  this->TellEvacuations();
}

void ControlState::Take(const EvacuationsRead& read) {
  this->evacuated = read.data_centres;
  this->TellEvacuations();
}

void ControlState::Take(const RecordRefused& refused) {
  this->effects.emplace_back(DecisionLine{
      .reason = "store.record_refused",
      .fields = {{"topic", refused.topic}, {"why", refused.reason}}});
}

void ControlState::Take(const OperatorReachable& reachable) {
  if (reachable.is_reachable == this->is_operator_reachable) {
    return;
  }
  this->is_operator_reachable = reachable.is_reachable;
  this->effects.emplace_back(DecisionLine{
      .reason = reachable.is_reachable ? "store.regained" : "store.lost",
      .fields = {{"why", reachable.reason}}});
}

void ControlState::Take(const FleetEvent& event) {
  if (this->fleet_register.Apply(event, this->now)) {
    this->TellFleet();
  }
}

void ControlState::Take(const ModelWanted&) {}

void ControlState::Take(const ControlTick&) {
  if (this->fleet_register.Tick(this->now)) {
    this->TellFleet();
  }
  if (!this->has_shares) {
    this->has_shares = true;
    constexpr std::uint32_t kHosts = 8;
    this->Tell(SharesChanged{.hosts = kHosts, .usual_share = 1.0 / kHosts});
  }
}

void ControlState::TellFleet() {
  this->Tell(FleetChanged{.fleet = this->fleet_register.fleet()});
  for (DecisionLine& line : this->fleet_register.TakeLines()) {
    this->effects.emplace_back(std::move(line));
  }
}

void ControlState::TellEvacuations() {
  this->Tell(EvacuationsChanged{.data_centres = this->evacuated});
}

void ControlState::Tell(EntryEvent event) {
  this->effects.emplace_back(TellEntry{.event = std::move(event)});
}

}  // namespace cicadaloft
