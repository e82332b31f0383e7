#include "cicadaloft/entry/entry_state.h"

#include <variant>

#include "entry_core.h"

namespace cicadaloft {

EntryState::EntryState(const EntrySettings& settings)
    : core(std::make_unique<EntryCore>(settings)) {}
EntryState::~EntryState() = default;
EntryState::EntryState(EntryState&& other) noexcept = default;
EntryState& EntryState::operator=(EntryState&& other) noexcept = default;

bool EntryState::IsReady() const {
  return this->core->IsReady();
}

std::size_t EntryState::OpenRequestCount() const {
  return this->core->OpenRequestCount();
}

std::size_t EntryState::WaitingRequestCount() const {
  return this->core->WaitingRequestCount();
}

Step<EntryState, EntryEffect> Decide(EntryState state,
                                     const EntryEvent& event,
                                     TimePoint now) {
  EntryCore& core = *state.core;
  core.SetNow(now);
  std::visit([&](const auto& item) { core.Handle(item); }, event);
  std::vector<EntryEffect> effects = core.TakeEffects();
  return Step<EntryState, EntryEffect>{.state = std::move(state),
                                       .effects = std::move(effects)};
}

}  // namespace cicadaloft
