#ifndef CICADALOFT_USAGE_USAGE_REPORTER_H_
#define CICADALOFT_USAGE_USAGE_REPORTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/usage/messages.h"
#include "cicadaloft/usage/usage_settings.h"

namespace cicadaloft {

/// Records closed windows in the store and reports them to the platform, while
/// this host holds the lease. A window is reported only after its record has
/// been acknowledged or read, with exactly the recorded counts. Records that
/// the store has lost by coming back from an older copy are written again,
/// before later ones, by the host that knows them.
class UsageReporter {
 public:
  explicit UsageReporter(UsageSettings settings);

  void OnTerm(const UsageTerm& term, TimePoint now);
  void OnTermEnded();
  /// The store has stated its era.
  void OnEra(StoreEra stated, TimePoint now);
  /// @param current the window that has not ended yet.
  void OnWindow(UsageWindow current);
  void OnTopicRead(const UsageTopicRead& read, TimePoint now);
  void OnReadFailed(TimePoint now);
  void OnAppendEnded(const UsageAppendEnded& ended, TimePoint now);
  void OnReportEnded(const UsageReportEnded& ended,
                     Duration since_1970,
                     TimePoint now);

  /// @return whether this host holds the lease now.
  bool IsTermValid(TimePoint now) const {
    return this->term && now < this->term->valid_until;
  }
  /// @return whether windows may be closed: this host holds the lease and knows
  /// what is recorded.
  bool MayClose() const { return this->term && !this->needs_read; }
  /// @return the newest window that is recorded or closed; none if there is
  /// none.
  std::optional<UsageWindow> LastWindow() const;
  /// @return the first window of which this host knows that nobody has recorded
  /// it in an earlier era of the store, unless it is in the topic.
  UsageWindow unknown_before() const { return this->first_known; }
  /// @return whether the store may hold another record of the window, which
  /// can't be read.
  bool IsUnreadable(UsageWindow window) const {
    return this->unreadable_slots.contains(UsageSlot(window));
  }
  /// Takes the final counts of a window.
  /// @param input_age age of the oldest input of the counts.
  /// @pre MayClose() and the window is after LastWindow().
  void Close(UsageWindow window, UsageByCustomer counts, Duration input_age);

  /// Starts the calls that are due.
  void StartDueCalls(TimePoint now);
  /// @return windows that have been recorded since the last call.
  std::vector<UsageWindow> TakeRecorded();
  std::vector<UsageEffect> TakeEffects();

 private:
  struct Recorded {
    UsageByCustomer counts;
    bool is_settled = false;
    /// None if another holder has closed it.
    std::optional<Duration> input_age;
  };
  enum class StoreCall { kNone, kRead, kAppend };

  void AddRecord(const UsageRecord& record, std::optional<Duration> input_age);
  /// Puts the records that the store has lost before those of closed windows.
  void RepeatLostRecords(const UsageTopicRead& read);
  UsageWindow SettledBefore() const;
  void StartStoreCall(TimePoint now);
  void StartReport(TimePoint now);
  void LogReport(const UsageReportEnded& ended,
                 const Recorded& recorded,
                 bool is_late);
  void CountOutcome(UsageWindowOutcome outcome);
  void GiveUp(UsageWindow window, const std::string& reason);

  UsageSettings settings;
  std::vector<UsageEffect> effects;
  std::vector<UsageWindow> newly_recorded;

  std::optional<UsageTerm> term;
  bool needs_read = true;
  StoreCall store_call = StoreCall::kNone;  ///< Has not ended yet.
  bool is_store_call_stale = false;         ///< It began in an earlier term.
  TimePoint next_store_call_at{};
  LogOffset end;  ///< Of the topic, as far as known.
  std::set<std::uint64_t> unreadable_slots;

  /// By the store; windows that are settled are kept until SettledBefore()
  /// passes them.
  std::map<UsageWindow, Recorded> recorded;
  std::optional<UsageWindow> last_recorded;
  UsageWindow known_settled_before;
  struct Closed {
    UsageRecord record;
    Duration input_age{};
  };
  /// Not recorded yet, or lost by the store; oldest first.
  std::deque<Closed> closed;

  std::optional<StoreEra> era;  ///< The highest one that the store has stated.
  /// The topic was read in this term, so all that is recorded is known.
  bool has_read = false;
  /// A new era was seen, and OnWindow() has not followed yet.
  bool is_era_unknown = false;
  UsageWindow first_known;

  bool is_report_pending = false;
  TimePoint next_report_at{};
  Duration report_retry_delay{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_USAGE_REPORTER_H_
