#ifndef CICADALOFT_FORWARDING_TESTS_DIRECT_DECIDER_H_
#define CICADALOFT_FORWARDING_TESTS_DIRECT_DECIDER_H_

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// What the direct decider does, and all events that it has seen but ticks.
struct DirectPlan {
  std::string address;
  Duration response_timeout = std::chrono::seconds(20);
  bool withholds_error_response = false;
  bool cancels = true;            ///< Ends the attempts of callers that leave.
  bool refuses = false;           ///< Answers each request with kRateLimited.
  bool takes_after_stop = false;  ///< Requests, for as long as they come.
  std::vector<EntryEvent> seen;

  template <typename E>
  std::vector<E> All() const {
    std::vector<E> found;
    for (const EntryEvent& event : this->seen) {
      if (const auto* match = std::get_if<E>(&event)) {
        found.push_back(*match);
      }
    }
    return found;
  }
};

/// Sends each request to one target at once, and once more where the target
/// says that it has not run it.
class DirectState {
 public:
  explicit DirectState(std::shared_ptr<DirectPlan> plan)
      : plan(std::move(plan)) {}

  bool IsReady() const { return !this->stopping; }
  std::size_t OpenRequestCount() const { return this->open.size(); }

  friend Step<DirectState, EntryEffect> Decide(DirectState state,
                                               const EntryEvent& event,
                                               TimePoint) {
    std::vector<EntryEffect> effects;
    if (!std::holds_alternative<EntryTick>(event)) {
      state.plan->seen.push_back(event);
    }
    std::visit(
        Overloaded{
            [&](const RequestArrived& arrived) {
              state.Begin(arrived, effects);
            },
            [&](const AttemptEnded& ended) { state.End(ended, effects); },
            [&](const CallerDisconnected& gone) { state.Leave(gone, effects); },
            [&](const EntryStopRequested&) {
              state.stopping = !state.plan->takes_after_stop;
            },
            [](const auto&) {}},
        event);
    return {std::move(state), std::move(effects)};
  }

 private:
  void Begin(const RequestArrived& arrived, std::vector<EntryEffect>& effects) {
    if (this->stopping || this->plan->refuses) {
      const ErrorKind kind =
          this->stopping ? ErrorKind::kStopping : ErrorKind::kRateLimited;
      effects.emplace_back(
          Refuse{.request = arrived.request,
                 .error = MakeError(kind, "refused by plan"),
                 .retry_after = std::chrono::milliseconds(1200)});
      return;
    }
    this->open.insert(arrived.request);
    effects.emplace_back(DecisionRecord{.event = "route.direct",
                                        .request = arrived.request,
                                        .fields = {{"target", "t1"}}});
    effects.emplace_back(this->Attempt(arrived.request, AttemptNumber(1)));
  }

  void Leave(const CallerDisconnected& gone,
             std::vector<EntryEffect>& effects) const {
    if (this->plan->cancels) {
      effects.emplace_back(
          CancelAttempt{.request = gone.request, .attempt = AttemptNumber(1)});
    }
  }

  void End(const AttemptEnded& ended, std::vector<EntryEffect>& effects) {
    const bool not_run = ended.outcome == AttemptOutcome::kNotLoaded ||
                         ended.outcome == AttemptOutcome::kShed;
    if (not_run && ended.attempt == AttemptNumber(1)) {
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
        .response_timeout = this->plan->response_timeout,
        .withholds_error_response = this->plan->withholds_error_response};
  }

  std::shared_ptr<DirectPlan> plan;
  std::set<RequestId> open;
  bool stopping = false;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TESTS_DIRECT_DECIDER_H_
