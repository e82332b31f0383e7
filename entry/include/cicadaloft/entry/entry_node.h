#ifndef CICADALOFT_ENTRY_ENTRY_NODE_H_
#define CICADALOFT_ENTRY_ENTRY_NODE_H_

#include <cstddef>
#include <memory>

#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

class EntryCore;

/// The state of one host's entry. It moves through Decide().
class EntryState {
 public:
  explicit EntryState(const EntrySettings& settings);
  ~EntryState();
  EntryState(EntryState&& other) noexcept;
  EntryState& operator=(EntryState&& other) noexcept;

  /// @return whether callers should be sent here: there is a configuration and
  /// no stop has been asked for.
  bool IsReady() const;
  std::size_t OpenRequestCount() const;
  std::size_t WaitingRequestCount() const;

 private:
  friend Step<EntryState, EntryEffect> Decide(EntryState state,
                                              const EntryEvent& event,
                                              TimePoint now);

  std::unique_ptr<EntryCore> core;
};

/// Takes one event.
/// @param now from the clock that goes on while the host is suspended.
Step<EntryState, EntryEffect> Decide(EntryState state,
                                     const EntryEvent& event,
                                     TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_NODE_H_
