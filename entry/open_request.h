#ifndef CICADALOFT_ENTRY_OPEN_REQUEST_H_
#define CICADALOFT_ENTRY_OPEN_REQUEST_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cicadaloft/admission/queue_place.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/routing/request_size.h"
#include "cicadaloft/routing/target_estimate.h"

namespace cicadaloft {

/// Identifies a queue. The requests of one queue can be served by the same
/// targets.
struct QueueKey {
  ServiceId service;
  std::optional<ModelPath> model;
  /// Of a stream that is taken up; none: any version serves.
  std::optional<SoftwareVersion> software;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
  friend bool operator==(const QueueKey&, const QueueKey&) = default;
};

/// How a host knows where a stream began.
struct OriginEvidence {
  std::string_view source;  ///< A stable token, for logs.
  TimePoint known_since{};

  friend auto operator<=>(const OriginEvidence&,
                          const OriginEvidence&) = default;
  friend bool operator==(const OriginEvidence&,
                         const OriginEvidence&) = default;
};

/// A request that was admitted and has not ended. It keeps the configuration
/// under which it was admitted.
struct OpenRequest {
  RequestArrived arrival;
  TimePoint arrived_at;
  std::uint64_t sequence_number = 0;  ///< In order of arrival.
  ActiveConfigurationPtr configuration;
  const Route* route = nullptr;
  Fingerprints fingerprints;
  /// Null on public routes and where no customer is configured.
  const Customer* customer = nullptr;
  QueueKey queue_key;
  /// None if its service isn't served by rank.
  std::optional<RankedPlace> ranked_place;
  int urgency = 0;  ///< Sent to targets, with a ranked place.
  /// When it was queued, from what was served lately.
  std::optional<Duration> expected_wait;
  /// Refused since it can't be served in time.
  bool is_hopeless = false;
  double cost = 1;                ///< In the customer's unit.
  TimePoint response_deadline{};  ///< For the complete response.
  TimePoint wait_deadline{};      ///< For the start of an attempt.
  /// Set while a QuotaRequest for its cost is pending.
  std::optional<TimePoint> quota_deadline;
  /// Set while a LookUpOrigin for the stream that it takes up is pending.
  std::optional<TimePoint> origin_deadline;
  /// Set once it is known where the stream that it takes up began.
  std::optional<OriginEvidence> origin_evidence;
  /// Its cost is charged to the lease holder's pool, not to this host's share.
  bool is_charged_to_pool = false;
  AttemptNumber attempt;
  bool is_running = false;
  bool has_response_started = false;  ///< The caller has part of a response.
  TimePoint response_started_at{};
  std::uint32_t run_count = 0;  ///< Attempts that may have run.
  /// Attempts that may have reached a target.
  std::uint32_t delivery_count = 0;
  TargetId target;  ///< Of the running attempt; empty on a detour.
  /// The host that the running attempt goes over; none on a direct way.
  std::optional<HostId> via_host;
  std::set<HostId> tried_hosts;  ///< That have failed to serve it.
  /// The helping host charges the customer's limit.
  bool is_charged_elsewhere = false;
  /// How its last attempt has ended, while it waits for probes to show whether
  /// that was the target or this host's links.
  std::optional<AttemptOutcome> suspended_after;
  TimePoint dispatched_at{};
  RequestSize size;  ///< As it was expected at the dispatch.
  std::optional<TargetEstimate> estimate;  ///< Of the running attempt.
  TargetInstance instance;
  /// Targets that have failed to serve it, and until when it is not sent to
  /// them.
  std::map<TargetId, TimePoint> avoided_until;

  bool Avoids(const TargetId& target, TimePoint now) const {
    const auto found = this->avoided_until.find(target);
    return found != this->avoided_until.end() && now < found->second;
  }
  /// @return the customer's id; empty without a customer, as on public routes.
  CustomerId CustomerIdOrEmpty() const {
    return this->customer == nullptr ? CustomerId() : this->customer->id;
  }
  /// @return the model or adapter that it needs, for logs.
  std::string ModelText() const {
    return this->queue_key.model ? this->queue_key.model->ToString() : "-";
  }
  bool IsBatch() const;
  /// @return whether it waits in a queue for a target.
  bool IsQueued() const {
    return !this->is_running && !this->quota_deadline &&
           !this->origin_deadline && !this->suspended_after;
  }
  /// @return what the last attempt went to, for errors.
  std::string DestinationText() const {
    return this->via_host ? "host " + this->via_host->value()
                          : "target " + this->target.value();
  }
  QueuePlace Place() const;
  /// @return the work that its customer is charged for when the queue divides
  /// capacity among customers.
  double QueueCost() const;
  /// @return its rank for logs; "-" if its service isn't served by rank.
  std::string RankText() const {
    return this->ranked_place ? ToString(this->ranked_place->rank) : "-";
  }
  /// @return the priority that is sent to targets.
  int Priority() const;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_OPEN_REQUEST_H_
