#ifndef CICADALOFT_USAGE_TESTS_SIMULATED_PLATFORM_H_
#define CICADALOFT_USAGE_TESTS_SIMULATED_PLATFORM_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cicadaloft/duties/messages.h"

namespace cicadaloft {

/// The platform's side of usage reports, with a check of its rules.
class SimulatedPlatform {
 public:
  static constexpr Duration kHandoverDelay = std::chrono::seconds(3);

  struct Report {
    UsageByCustomer counts;
    TimePoint at{};
  };

  /// Accepts a report.
  DutyCallOutcome OnReport(const HostId& holder,
                           const SendUsageReport& report,
                           TimePoint now) {
    this->CheckCall(holder, report.token, now);
    if (this->is_refusing) {
      return DutyCallOutcome::kRefused;
    }
    const auto [entry, is_new] = this->reports.try_emplace(
        report.window_index, Report{.counts = report.counts, .at = now});
    this->duplicates += is_new ? 0 : 1;
    if (entry->second.counts != report.counts) {
      this->violations.push_back("two contents of window " +
                                 std::to_string(report.window_index.value()));
    }
    return DutyCallOutcome::kAccepted;
  }

  bool is_refusing = false;    ///< Answers 429.
  bool is_down = false;        ///< Accepts no connection.
  bool loses_answers = false;  ///< Executes calls without an answer.
  std::map<UsageWindow, Report> reports;
  std::vector<std::string> violations;
  std::uint64_t duplicates = 0;
  std::uint64_t calls = 0;

 private:
  void CheckCall(const HostId& holder, FencingToken token, TimePoint now) {
    ++this->calls;
    if (token < this->highest_token) {
      this->violations.push_back("token " + std::to_string(token.value()) +
                                 " after " +
                                 std::to_string(this->highest_token.value()));
    }
    if (holder != this->last_holder && !this->last_holder.empty() &&
        now - this->last_call_at < kHandoverDelay) {
      this->violations.push_back("calls of " + this->last_holder.value() +
                                 " and " + holder.value() + " within 3 s");
    }
    this->highest_token = std::max(this->highest_token, token);
    this->last_holder = holder;
    this->last_call_at = now;
  }

  FencingToken highest_token;
  HostId last_holder;
  TimePoint last_call_at{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_USAGE_TESTS_SIMULATED_PLATFORM_H_
