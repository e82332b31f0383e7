#ifndef CICADALOFT_USAGE_USAGE_STATE_H_
#define CICADALOFT_USAGE_USAGE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/usage/messages.h"
#include "cicadaloft/usage/usage_counter.h"
#include "cicadaloft/usage/usage_ledger.h"
#include "cicadaloft/usage/usage_reporter.h"
#include "cicadaloft/usage/usage_settings.h"
#include "cicadaloft/usage/wall_clock.h"

namespace cicadaloft {

/// One host's part in usage reports: it counts its own requests, and while it
/// holds the lease it sums, records and reports the counts of all hosts.
class UsageState {
 public:
  explicit UsageState(const UsageSettings& settings);

  friend Step<UsageState, UsageEffect> Decide(UsageState state,
                                              const UsageEvent& event,
                                              TimePoint now);

 private:
  void Handle(const WallClockRead& read);
  void Handle(const RequestsStarted& started);
  void Handle(const UsageCountsReceived& received);
  void Handle(const UsageClock& clock);
  void Handle(const UsageTerm& term);
  void Handle(const UsageTermEnded& ended);
  void Handle(const UsageHolderChanged& change);
  void Handle(const UsageLinkChanged& change);
  void Handle(const UsageTopicRead& read);
  void Handle(const UsageTopicReadFailed& failed);
  void Handle(const UsageAppendEnded& ended);
  void Handle(const UsageReportEnded& ended);
  void Handle(const StoreEraSeen& seen);
  void Handle(const UsageTick& tick);

  void SendCounts(bool has_all_windows);
  void LogEndedWindow();
  void CorrectClockOf(const UsageCountsReceived& received);
  /// @return the wall time by which windows are closed.
  Duration Time() const;
  void CloseWindows();
  /// @return the window after the last one that was closed or skipped.
  std::optional<UsageWindow> FirstOpenWindow() const;
  /// @return the next window to close.
  std::optional<UsageWindow> NextWindow() const;
  /// Skips the windows whose records the store may have lost.
  void SkipUnknown();
  /// Skips the windows before the next one.
  void SkipOld(UsageWindow next);
  /// @return whether the window was closed or skipped.
  bool CloseIfDue(UsageWindow window);
  std::size_t UnknownHosts(UsageWindow window) const;
  void Skip(UsageWindow window,
            const std::string& reason,
            std::vector<LogField> fields);
  void CountOutcome(UsageWindowOutcome outcome);

  UsageSettings settings;
  TimePoint now{};
  std::vector<UsageEffect> effects;

  WallClock clock;
  UsageCounter counter;
  TimePoint counts_sent_at{};
  std::uint32_t host_count = 1;

  UsageLedger ledger;  ///< Used while this host holds the lease.
  UsageReporter reporter;
  std::optional<FencingToken> term;
  TimePoint term_began_at{};
  Duration term_wall_time{};  ///< At `term_began_at`.
  std::uint32_t term_host_count = 1;
  std::optional<UsageWindow> last_skipped;
};

Step<UsageState, UsageEffect> Decide(UsageState state,
                                     const UsageEvent& event,
                                     TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_STATE_H_
