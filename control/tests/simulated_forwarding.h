#ifndef CICADALOFT_CONTROL_TESTS_SIMULATED_FORWARDING_H_
#define CICADALOFT_CONTROL_TESTS_SIMULATED_FORWARDING_H_

#include <functional>
#include <map>
#include <utility>
#include <variant>

#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// The exchanges of a HostsSimulation that go over another host. A request has
/// the same id on both hosts.
class SimulatedForwarding {
 public:
  using Feed = std::function<void(const HostId&, const EntryEvent&)>;

  /// @param feed feeds an event to the entry of a host, after the delay of a
  /// link.
  explicit SimulatedForwarding(Feed feed) : feed(std::move(feed)) {}

  /// Sees each event of a host's entry.
  void OnEvent(const HostId& host, const EntryEvent& event) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      this->arrivals.emplace(arrived->request, *arrived);
    } else if (const auto* started = std::get_if<ResponseStarted>(&event)) {
      const auto found = this->exchanges.find({host, started->request});
      if (found != this->exchanges.end()) {
        found->second.has_started = true;
        this->feed(found->second.origin,
                   ResponseStarted{.request = started->request,
                                   .attempt = found->second.attempt});
      }
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto found = this->exchanges.find({host, ended->request});
      if (found != this->exchanges.end() &&
          (ended->outcome == AttemptOutcome::kCompleted ||
           found->second.has_started)) {
        this->End(found, ended->outcome, ended->http_status);
      }
    }
  }

  /// Executes a dispatch over another host.
  void Forward(const HostId& host, const Dispatch& dispatch) {
    const RequestArrived& arrival = this->arrivals.at(dispatch.request);
    const HostId& via = *dispatch.via_host;
    this->exchanges.insert_or_assign(
        Key(via, dispatch.request),
        Exchange{.origin = host,
                 .attempt = dispatch.attempt,
                 .withholds_refusal = dispatch.withholds_error_response,
                 .configuration = dispatch.configuration});
    this->feed(via,
               RequestArrived{.request = arrival.request,
                              .caller_request_id = arrival.caller_request_id,
                              .credential = arrival.credential,
                              .destination = arrival.destination,
                              .tokens = arrival.tokens,
                              .prompt_segments = arrival.prompt_segments,
                              .timeout = dispatch.response_timeout,
                              .fingerprint = arrival.fingerprint,
                              .forwarded_by = host,
                              .admitted_by = dispatch.configuration});
  }

  /// Executes the refusal of a request that was forwarded.
  /// @return whether it was one.
  bool Execute(const HostId& host, const Refuse& refusal) {
    const auto found = this->exchanges.find({host, refusal.request});
    if (found == this->exchanges.end()) {
      return false;
    }
    const bool is_not_run = refusal.run_state == RunState::kNotRun;
    const bool is_outdated =
        is_not_run && refusal.configuration < found->second.configuration;
    const bool is_withheld = is_not_run && found->second.withholds_refusal;
    this->End(found,
              is_outdated   ? AttemptOutcome::kOutdatedHost
              : is_withheld ? AttemptOutcome::kShed
                            : AttemptOutcome::kCompleted,
              0, refusal.takes_other_requests);
    return true;
  }

  /// Executes the end of an exchange over another host.
  void Execute(const HostId& host, const CancelAttempt& cancel) {
    for (auto entry = this->exchanges.begin(); entry != this->exchanges.end();
         ++entry) {
      if (entry->second.origin == host &&
          entry->first.second == cancel.request &&
          entry->second.attempt == cancel.attempt) {
        this->feed(entry->first.first,
                   CallerDisconnected{.request = cancel.request});
        this->End(entry, AttemptOutcome::kCancelled);
        return;
      }
    }
  }

 private:
  using Key = std::pair<HostId, RequestId>;
  struct Exchange {
    HostId origin;
    AttemptNumber attempt;
    bool withholds_refusal = false;
    ConfigurationVersion configuration;  ///< That has admitted the request.
    bool has_started = false;
  };

  void End(std::map<Key, Exchange>::iterator entry,
           AttemptOutcome outcome,
           int http_status = 0,
           bool takes_other_requests = false) {
    this->feed(entry->second.origin,
               AttemptEnded{.request = entry->first.second,
                            .attempt = entry->second.attempt,
                            .outcome = outcome,
                            .http_status = http_status,
                            .takes_other_requests = takes_other_requests});
    this->exchanges.erase(entry);
  }

  Feed feed;
  std::map<RequestId, RequestArrived> arrivals;
  std::map<Key, Exchange> exchanges;  ///< By the helping host.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SIMULATED_FORWARDING_H_
