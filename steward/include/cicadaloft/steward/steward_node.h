#ifndef CICADALOFT_STEWARD_STEWARD_NODE_H_
#define CICADALOFT_STEWARD_STEWARD_NODE_H_

#include <memory>
#include <vector>

#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/ledger/ledger.h"
#include "cicadaloft/steward/messages.h"
#include "cicadaloft/steward/steward_settings.h"

namespace cicadaloft {

/// What an operator is shown of a steward.
struct StewardStatus {
  const bool is_member = false;
  const bool log_reachable = false;
  const bool may_use_rights = false;
  const LogOffset next;
  const std::vector<HostId> peers_up;
  const std::vector<DutyId> duties;

  friend auto operator<=>(const StewardStatus&, const StewardStatus&) = default;
  friend bool operator==(const StewardStatus&, const StewardStatus&) = default;
};

/// All that one steward knows. It moves through Decide(); there is no copy.
class StewardState {
 public:
  explicit StewardState(const StewardSettings& settings);
  ~StewardState();
  StewardState(StewardState&& other) noexcept;
  StewardState& operator=(StewardState&& other) noexcept;

  /// @return the agreed state as far as this steward has applied it.
  const Ledger& ledger() const;
  StewardStatus Status() const;

  friend Step<StewardState, StewardEffect> Decide(StewardState state,
                                                  const StewardEvent& event,
                                                  TimePoint now);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

/// Decides what follows from one event. No clock, socket or random source is
/// used: the same events at the same times yield the same effects.
Step<StewardState, StewardEffect> Decide(StewardState state,
                                         const StewardEvent& event,
                                         TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_STEWARD_NODE_H_
