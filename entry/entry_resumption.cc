#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cicadaloft/entry/event_names.h"
#include "entry_core.h"

namespace cicadaloft {
namespace {

/// A take-up whose origin isn't known by then is refused.
constexpr Duration kOriginReplyTimeout = std::chrono::milliseconds(500);

/// A take-up without a record waits at most this long until the registry has
/// been read again; hosts read it, or are told, several times a second.
constexpr Duration kRegistryWait = std::chrono::milliseconds(1500);

/// Streams of routes with a shorter time limit are also taken to last this
/// long.
constexpr Duration kMinSoleOriginTime = std::chrono::seconds(60);

/// The caller chooses the id of its first request.
constexpr std::size_t kMaxLoggedIdBytes = 128;

/// The time for which a route must have had one origin, so that none of its
/// streams can have begun at another one.
Duration SoleOriginTime(const Route& route) {
  return std::max<Duration>(kMinSoleOriginTime, 2 * route.timeout);
}

bool HasService(const Route& route, const ServiceId& service) {
  return std::ranges::find(route.services, service,
                           &WeightedService::service) != route.services.end();
}

}  // namespace

// Whether the request takes up a stream whose origin isn't known yet.
bool EntryCore::NeedsOrigin(const OpenRequest& request) {
  return request.arrival.resumption &&
         request.route->retry_policy == RetryPolicy::kResumable &&
         !request.queue_key.software;
}

// A take-up that names no first request looks up its own id: that the log can
// be read shows that this host isn't cut off, and its registry not outdated.
void EntryCore::FindOrigin(OpenRequest& request) {
  const RequestId& named = request.arrival.resumption->first_request;
  const RequestId& first_request =
      named.empty() ? request.arrival.caller_request_id : named;
  request.origin_deadline =
      std::min(request.wait_deadline, this->now + kOriginReplyTimeout);
  this->expiries.emplace(*request.origin_deadline, request.arrival.request);
  this->effects.emplace_back(LookUpOrigin{
      .request = request.arrival.request,
      .stream = MakeStreamKey(request.CustomerIdOrEmpty(), first_request)});
}

void EntryCore::Handle(const OriginLookedUp& looked_up) {
  const auto entry = this->requests.find(looked_up.request);
  if (entry == this->requests.end() || !entry->second.origin_deadline) {
    return;
  }
  OpenRequest& request = entry->second;
  this->expiries.erase({*request.origin_deadline, looked_up.request});
  request.origin_deadline.reset();
  if (const auto* found = std::get_if<OriginFound>(&looked_up.result)) {
    this->PinToOrigin(request, found->origin,
                      OriginEvidence{.source = ToString(found->source),
                                     .known_since = this->now - found->age});
  } else if (std::holds_alternative<OriginNotRecorded>(looked_up.result)) {
    this->PinToSoleOrigin(request);
  } else {
    this->RefuseTakeUp(request,
                       MakeError(ErrorKind::kStreamOriginUnreachable,
                                 "the version that began the stream can't be "
                                 "looked up at present"));
  }
}

void EntryCore::WaitForRegistry(OpenRequest& request) {
  request.origin_deadline =
      std::min(request.wait_deadline, this->now + kRegistryWait);
  this->expiries.emplace(*request.origin_deadline, request.arrival.request);
  this->waiting_for_registry.insert(request.arrival.request);
}

void EntryCore::Handle(const RegistryCaughtUp& caught_up) {
  if (this->registry && caught_up.era != this->registry->era) {
    // Entries and records of streams may have been lost.
    this->sole_origins.Forget(this->now);
  }
  this->registry = caught_up;
  const std::set<RequestId> waiting =
      std::exchange(this->waiting_for_registry, {});
  for (const RequestId& id : waiting) {
    const auto entry = this->requests.find(id);
    if (entry != this->requests.end() && entry->second.origin_deadline) {
      this->expiries.erase({*entry->second.origin_deadline, id});
      entry->second.origin_deadline.reset();
      this->PinToSoleOrigin(entry->second);
    }
  }
}

// Goes on with a take-up whose stream has no known record, if it can have begun
// at one origin only. A host that was paused or cut off may not know a version
// that has joined, so the registry must have been read since the request came.
void EntryCore::PinToSoleOrigin(OpenRequest& request) {
  if (!this->registry || this->registry->at < request.arrived_at) {
    this->WaitForRegistry(request);
    return;
  }
  const auto sole = this->sole_origins.Find(request.route->id);
  if (sole && this->now - sole->since > SoleOriginTime(*request.route)) {
    this->PinToOrigin(
        request, sole->origin,
        OriginEvidence{.source = "sole_version", .known_since = sole->since});
    return;
  }
  this->RefuseTakeUp(
      request, MakeError(ErrorKind::kStreamOriginUnknown,
                         "it isn't known which version began the stream"));
}

// Queues a take-up for the targets of the origin only.
void EntryCore::PinToOrigin(OpenRequest& request,
                            const StreamOrigin& origin,
                            const OriginEvidence& evidence) {
  request.origin_evidence = evidence;
  if (!HasService(*request.route, origin.service) || origin.software.empty()) {
    this->RefuseTakeUp(
        request, MakeError(ErrorKind::kStreamOriginUnknown,
                           "the route doesn't lead to the service and version "
                           "that began the stream"));
    return;
  }
  request.queue_key.service = origin.service;
  request.queue_key.software = origin.software;
  if (this->IsVersionGone(request.queue_key)) {
    this->RefuseTakeUp(
        request, MakeError(ErrorKind::kStreamVersionGone,
                           "no target of the version that began the stream is "
                           "left"));
    return;
  }
  this->LogTakeUp(request, "pinned");
  this->EnqueueForTarget(request);
}

// Whether the queue is for one version, of which no target stays. Unknown
// before the first fleet.
bool EntryCore::IsVersionGone(const QueueKey& key) const {
  if (!key.software || this->fleet == nullptr) {
    return false;
  }
  const auto ids = this->targets_by_service.find(key.service);
  return ids == this->targets_by_service.end() ||
         std::ranges::none_of(ids->second, [&](const TargetId& id) {
           const TargetView& target = this->targets.at(id);
           const TargetRecord& record = target.record();
           return record.software == *key.software && !record.is_draining &&
                  !target.notices().is_leaving() &&
                  !this->evacuated.contains(record.data_centre);
         });
}

// @return whether the requests of the queue were refused.
bool EntryCore::RefuseIfVersionGone(const QueueKey& key) {
  if (!this->IsVersionGone(key)) {
    return false;
  }
  for (const RequestId& id : this->RequestsInQueue(key)) {
    this->RefuseTakeUp(
        this->requests.at(id),
        MakeError(ErrorKind::kStreamVersionGone,
                  "no target of the version that began the stream is left"));
  }
  return true;
}

bool EntryCore::HasVersionFor(const QueueKey& key, const TargetId& id) const {
  const auto found = this->targets.find(id);
  return !key.software || (found != this->targets.end() &&
                           found->second.record().software == *key.software);
}

void EntryCore::RefuseTakeUp(const OpenRequest& request, const Error& error) {
  this->LogTakeUp(request, GetErrorInfo(error.kind).token);
  this->RefuseOpenRequest(request, error);
  this->Close(request);
}

void EntryCore::LogTakeUp(const OpenRequest& request,
                          std::string_view outcome) {
  const std::string first_request =
      request.arrival.resumption->first_request.value().substr(
          0, kMaxLoggedIdBytes);
  const auto& evidence = request.origin_evidence;
  this->Log(
      event_names::kStreamResume, request.arrival.caller_request_id,
      {{"first_request", first_request.empty() ? "-" : first_request},
       {"version",
        request.queue_key.software ? request.queue_key.software->value() : "-"},
       {"known_from", evidence ? evidence->source : "-"},
       {"age_ms",
        evidence ? this->now - evidence->known_since : Duration::zero()},
       {"outcome", outcome}});
}

}  // namespace cicadaloft
