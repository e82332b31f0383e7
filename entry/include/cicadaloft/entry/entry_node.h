#ifndef CICADALOFT_ENTRY_ENTRY_NODE_H_
#define CICADALOFT_ENTRY_ENTRY_NODE_H_

#include <memory>

#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/entry_settings.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/ledger/ledger.h"

namespace cicadaloft {

/// All that one entry knows. It moves through Decide(); there is no copy.
class EntryState {
 public:
  explicit EntryState(const EntrySettings& settings);
  ~EntryState();
  EntryState(EntryState&& other) noexcept;
  EntryState& operator=(EntryState&& other) noexcept;

  /// @return the agreed state as far as this entry has applied it.
  const Ledger& ledger() const;
  /// @return whether the balancer may send requests here.
  bool IsReady() const;
  /// @return requests that wait or run.
  std::size_t OpenRequests() const;

  friend Step<EntryState, EntryEffect> Decide(EntryState state,
                                              const EntryEvent& event,
                                              TimePoint now);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

/// Decides what follows from one event. No clock, socket or random source is
/// used: the same events at the same times yield the same effects.
Step<EntryState, EntryEffect> Decide(EntryState state,
                                     const EntryEvent& event,
                                     TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_NODE_H_
