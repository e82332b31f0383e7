#include <algorithm>
#include <chrono>
#include <optional>
#include <ranges>
#include <vector>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// A host whose ticks come later than this after each other lacks processor
/// time for its own callers.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(200);

/// A request with less remaining time than this is not sent over another host.
constexpr Duration kMinDetourTime = std::chrono::milliseconds(20);

}  // namespace

// Without a host that could help, requests wait for targets as ever.
bool EntryCore::UsesDetours() const {
  return this->reachability.links() == TargetLinks::kLost &&
         !this->helping_hosts.IsEmpty();
}

// A request is forwarded only once.
std::optional<EntryCore::Refusal> EntryCore::CheckForwarded() const {
  if (this->reachability.links() == TargetLinks::kLost) {
    return Refusal{MakeError(ErrorKind::kNoCapacity,
                             "this host reaches no target either")};
  }
  if (this->tick_gap > kMaxTickGap) {
    return Refusal{MakeError(
        ErrorKind::kQueueFull,
        "this host lacks processor time for requests of other hosts")};
  }
  const auto forwarded =
      std::ranges::count_if(this->requests | std::views::values,
                            [](const OpenRequest& request) {
                              return request.arrival.forwarded_by.has_value();
                            }) +
      std::ssize(this->held_arrivals);
  if (static_cast<std::size_t>(forwarded) >=
      this->settings.max_forwarded_requests) {
    return Refusal{MakeError(
        ErrorKind::kQueueFull,
        "this host already serves as many requests of other hosts as it may")};
  }
  return std::nullopt;
}

bool EntryCore::TakesOtherRequests(const RequestArrived& refused) const {
  return refused.forwarded_by && this->configuration && !this->is_stopping &&
         !this->CheckForwarded();
}

void EntryCore::Handle(const DetourHostsChanged& change) {
  this->helping_hosts.Replace(change.hosts);
  this->ConfirmHelpingHosts();
  this->DetourWaitingRequests();
}

// Hosts that the lease holder doesn't list may still reach targets. Those of
// earlier versions, which may decide by an older configuration, don't answer.
void EntryCore::ConfirmHelpingHosts() {
  if (this->reachability.links() != TargetLinks::kLost) {
    return;
  }
  for (const DetourHost& host :
       this->helping_hosts.UnconfirmedHosts(this->now)) {
    if (this->alignment.MayBegin(host.host, this->now)) {
      this->alignment.OnBegun(host.host, ConfigurationVersion());
      this->effects.emplace_back(
          CompareConfigurations{.host = host.host,
                                .address = host.address,
                                .version = this->lag.adopted(),
                                .configuration = nullptr});
    }
  }
}

bool EntryCore::NeedsDetour(const OpenRequest& request) const {
  return request.arrival.forwarded_by
             ? this->reachability.links() == TargetLinks::kLost
             : request.via_host || this->UsesDetours();
}

// Also those that wait for quota or for the origin of their stream: the helping
// host looks for both by itself.
void EntryCore::DetourWaitingRequests() {
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : this->requests) {
    if (!request.is_running && this->NeedsDetour(request)) {
      waiting.push_back(id);
    }
  }
  for (const RequestId& id : waiting) {
    OpenRequest& request = this->requests.at(id);
    if (request.IsQueued()) {
      this->RemoveFromQueue(request);
    }
    this->TakeDetour(request);
  }
}

void EntryCore::TakeDetour(OpenRequest& request) {
  if (request.arrival.forwarded_by) {
    this->RefuseOpenRequest(request,
                            MakeError(ErrorKind::kNoCapacity,
                                      "this host no longer reaches a target"));
    this->Close(request);
    return;
  }
  const RequestId& id = request.arrival.request;
  if (request.run_count == 0) {
    this->RefundCost(request);
  }
  request.is_charged_elsewhere = true;
  for (auto* deadline : {&request.quota_deadline, &request.origin_deadline}) {
    if (*deadline) {
      this->expiries.erase({**deadline, id});
      deadline->reset();
    }
  }
  this->expiries.erase({request.wait_deadline, id});
  this->DispatchOverHost(request);
}

void EntryCore::DispatchOverHost(OpenRequest& request) {
  const auto host = this->helping_hosts.Choose(request.tried_hosts, this->now);
  if (!host || request.response_deadline - this->now < kMinDetourTime) {
    this->RefuseOpenRequest(
        request, MakeError(ErrorKind::kNoCapacity,
                           "this host reaches no target at present, and no "
                           "other host takes the request"));
    this->Close(request);
    return;
  }
  const RequestId& id = request.arrival.request;
  this->expiries.emplace(request.response_deadline, id);
  request.attempt = request.attempt.Next();
  request.is_running = true;
  request.via_host = host->host;
  request.target = TargetId();
  request.instance = TargetInstance();
  request.estimate.reset();
  request.dispatched_at = this->now;
  this->helping_hosts.OnSent(host->host);
  ++this->detour_count;
  this->LogDetour(request);
  std::set<HostId> tried = request.tried_hosts;
  tried.insert(host->host);
  const bool has_other =
      this->helping_hosts.Choose(tried, this->now).has_value();
  this->effects.emplace_back(
      Dispatch{.request = id,
               .attempt = request.attempt,
               .address = host->address,
               .via_host = host->host,
               .customer = request.CustomerIdOrEmpty(),
               .priority = request.Priority(),
               .response_timeout = request.response_deadline - this->now,
               .withholds_error_response = has_other,
               .origin = std::nullopt,
               .configuration = request.configuration->version()});
}

std::vector<LogField> EntryCore::ForwardedFields(
    const RequestArrived& arrived) {
  if (!arrived.forwarded_by) {
    return {};
  }
  return {{"forwarded_by", arrived.forwarded_by->value()},
          {"admitted_by", arrived.admitted_by
                              ? std::to_string(arrived.admitted_by->value())
                              : "-"}};
}

void EntryCore::LogDetour(const OpenRequest& request) {
  this->Log(event_names::kDetour, request.arrival.caller_request_id,
            {{"host", request.via_host->value()},
             {"attempt", request.attempt.value()},
             {"model", request.ModelText()},
             {"customer", request.CustomerIdOrEmpty().value()},
             {"waited_ms", this->now - request.arrived_at},
             {"lost_ms", this->now - this->reachability.lost_at()},
             {"helping_hosts", this->helping_hosts.size()},
             {"configuration", request.configuration->version().value()}});
}

void EntryCore::RecordDetour(const OpenRequest& request,
                             const AttemptEnded& ended) {
  const HostId& host = *request.via_host;
  this->helping_hosts.OnEnded(host);
  if (ended.http_status != 0) {
    this->helping_hosts.OnAnswer(host, ended.host_configuration.has_value());
  }
  if (ended.host_configuration) {
    this->HearConfiguration(*ended.host_configuration);
  }
  if (ended.outcome == AttemptOutcome::kOutdatedHost) {
    this->Log(event_names::kOutdatedHost, request.arrival.caller_request_id,
              {{"host", host.value()},
               {"configuration", request.configuration->version().value()},
               {"host_configuration",
                ended.host_configuration
                    ? std::to_string(ended.host_configuration->value())
                    : "-"}});
  }
  if (ended.outcome == AttemptOutcome::kNotSent) {
    this->helping_hosts.OnUnreachable(host, this->now);
  }
  const bool is_shed = ended.outcome == AttemptOutcome::kShed;
  if ((is_shed && !ended.takes_other_requests) ||
      ended.outcome == AttemptOutcome::kOutdatedHost) {
    this->helping_hosts.OnFailure(host, this->now);
  }
}

}  // namespace cicadaloft
