#ifndef CICADALOFT_FORWARDING_TESTS_DIRECT_STATE_H_
#define CICADALOFT_FORWARDING_TESTS_DIRECT_STATE_H_

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// Behaviour of DirectState, and all events that it has received except ticks.
struct DirectPlan {
  std::string address;
  Duration response_timeout = std::chrono::seconds(20);
  bool withholds_error_response = false;
  /// Cancels attempts when their callers disconnect.
  bool cancels_attempts = true;
  bool refuses_requests = false;  ///< Refuses each request with kRateLimited.
  bool takes_other_requests = false;  ///< States it in refusals.
  bool accepts_after_stop = false;  ///< Accepts requests after a stop as well.
  std::optional<OriginRecord> origin;  ///< Of each dispatch.
  std::optional<HostId> via_host;      ///< Of each dispatch.
  /// Of this host, in answers to comparisons.
  ActiveConfigurationPtr configuration;
  std::vector<EntryEvent> events;

  template <typename E>
  std::vector<E> ReceivedEvents() const {
    std::vector<E> found;
    for (const EntryEvent& event : this->events) {
      if (const auto* match = std::get_if<E>(&event)) {
        found.push_back(*match);
      }
    }
    return found;
  }
};

/// Sends each request to one target immediately, and once more if the target
/// reports that it did not run it.
class DirectState {
 public:
  explicit DirectState(std::shared_ptr<DirectPlan> plan)
      : plan(std::move(plan)) {}

  bool IsReady() const { return !this->is_stopping; }
  std::size_t OpenRequestCount() const { return this->open.size(); }

  friend Step<DirectState, EntryEffect> Decide(DirectState state,
                                               const EntryEvent& event,
                                               TimePoint) {
    std::vector<EntryEffect> effects;
    if (!std::holds_alternative<EntryTick>(event)) {
      state.plan->events.push_back(event);
    }
    std::visit(Overloaded{[&](const RequestArrived& arrived) {
                            state.HandleArrival(arrived, effects);
                          },
                          [&](const AttemptEnded& ended) {
                            state.HandleAttemptEnd(ended, effects);
                          },
                          [&](const CallerDisconnected& disconnected) {
                            state.HandleDisconnect(disconnected, effects);
                          },
                          [&](const ComparisonArrived& arrived) {
                            effects.emplace_back(AnswerComparison{
                                .request = arrived.request,
                                .version = state.plan->configuration->version(),
                                .newer = state.plan->configuration});
                          },
                          [&](const EntryStopRequested&) {
                            state.is_stopping = !state.plan->accepts_after_stop;
                          },
                          [](const auto&) {}},
               event);
    return {std::move(state), std::move(effects)};
  }

 private:
  void HandleArrival(const RequestArrived& arrived,
                     std::vector<EntryEffect>& effects) {
    if (this->is_stopping || this->plan->refuses_requests) {
      const ErrorKind kind =
          this->is_stopping ? ErrorKind::kStopping : ErrorKind::kRateLimited;
      effects.emplace_back(
          Refuse{.request = arrived.request,
                 .error = MakeError(kind, "refused by plan"),
                 .retry_after = std::chrono::milliseconds(1200),
                 .takes_other_requests = this->plan->takes_other_requests});
      return;
    }
    this->open.insert(arrived.request);
    effects.emplace_back(DecisionRecord{.event = "route.direct",
                                        .request = arrived.request,
                                        .fields = {{"target", "t1"}}});
    effects.emplace_back(this->Attempt(arrived.request, AttemptNumber(1)));
  }

  void HandleDisconnect(const CallerDisconnected& disconnected,
                        std::vector<EntryEffect>& effects) const {
    if (this->plan->cancels_attempts) {
      effects.emplace_back(CancelAttempt{.request = disconnected.request,
                                         .attempt = AttemptNumber(1)});
    }
  }

  void HandleAttemptEnd(const AttemptEnded& ended,
                        std::vector<EntryEffect>& effects) {
    const bool was_not_run = ended.outcome == AttemptOutcome::kNotLoaded ||
                             ended.outcome == AttemptOutcome::kShed;
    if (was_not_run && ended.attempt == AttemptNumber(1)) {
      effects.emplace_back(this->Attempt(ended.request, AttemptNumber(2)));
      return;
    }
    this->open.erase(ended.request);
    if (ended.outcome == AttemptOutcome::kCompleted ||
        ended.outcome == AttemptOutcome::kCancelled) {
      return;
    }
    const ErrorKind kind = ended.outcome == AttemptOutcome::kNotSent
                               ? ErrorKind::kTargetUnreachable
                               : ErrorKind::kTargetFailed;
    effects.emplace_back(Refuse{.request = ended.request,
                                .error = MakeError(kind, "attempt failed"),
                                .run_state = GetErrorInfo(kind).run_state});
  }

  Dispatch Attempt(const RequestId& request, AttemptNumber attempt) const {
    return Dispatch{
        .request = request,
        .attempt = attempt,
        .target = TargetId("t1"),
        .address = this->plan->address,
        .via_host = this->plan->via_host,
        .response_timeout = this->plan->response_timeout,
        .withholds_error_response = this->plan->withholds_error_response,
        .origin = this->plan->origin};
  }

  std::shared_ptr<DirectPlan> plan;
  std::set<RequestId> open;
  bool is_stopping = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TESTS_DIRECT_STATE_H_
