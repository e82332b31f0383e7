#ifndef CICADALOFT_ENTRY_ENTRY_STATE_H_
#define CICADALOFT_ENTRY_ENTRY_STATE_H_

#include <cstddef>
#include <memory>

#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

class EntryCore;

/// State of the request entry of one host: admission, queues and dispatch. It
/// changes through Decide() only.
class EntryState {
 public:
  explicit EntryState(const EntrySettings& settings);
  ~EntryState();
  EntryState(EntryState&& other) noexcept;
  EntryState& operator=(EntryState&& other) noexcept;

  /// @return whether requests should be sent to this host: it has a
  /// configuration and no shutdown was requested.
  bool IsReady() const;
  std::size_t OpenRequestCount() const;
  std::size_t WaitingRequestCount() const;

 private:
  friend Step<EntryState, EntryEffect> Decide(EntryState state,
                                              const EntryEvent& event,
                                              TimePoint now);

  std::unique_ptr<EntryCore> core;
};

/// Applies one event and returns the new state with its effects.
/// @param now from a clock that keeps running while the host is suspended.
Step<EntryState, EntryEffect> Decide(EntryState state,
                                     const EntryEvent& event,
                                     TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_STATE_H_
