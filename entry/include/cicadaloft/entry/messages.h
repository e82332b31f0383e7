#ifndef CICADALOFT_ENTRY_MESSAGES_H_
#define CICADALOFT_ENTRY_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "cicadaloft/core/decision_line.h"
#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/peering/messages.h"

namespace cicadaloft {

enum class RequestClass { kInteractive, kBatch };

/// A call of a model or adapter.
struct ModelCall {
  const ModelId model;
  const std::uint64_t prefix_hash = 0;  ///< Of the prompt's first part.
  const double cost_tokens = 0;         ///< Expected prompt and answer tokens.

  friend auto operator<=>(const ModelCall&, const ModelCall&) = default;
  friend bool operator==(const ModelCall&, const ModelCall&) = default;
};

/// A call of a plain service.
struct ServiceCall {
  const RouteId route;
  const std::string method;

  friend auto operator<=>(const ServiceCall&, const ServiceCall&) = default;
  friend bool operator==(const ServiceCall&, const ServiceCall&) = default;
};

using Call = std::variant<ModelCall, ServiceCall>;

/// A caller's whole request has been read. Exactly one of Refuse, ReplayOutcome
/// or an ended Dispatch answers it.
struct RequestArrived {
  const RequestId request;
  const std::string credential;  ///< "<key id>.<secret>"; empty if none came.
  const Call call;
  const RequestClass request_class = RequestClass::kInteractive;
  const Duration timeout{};  ///< For the whole answer's start, from now on.
  const std::optional<std::string> idempotency_key;
  const std::uint64_t fingerprint = 0;  ///< Of method, route and body.

  friend auto operator<=>(const RequestArrived&,
                          const RequestArrived&) = default;
  friend bool operator==(const RequestArrived&,
                         const RequestArrived&) = default;
};

/// How one attempt at a target ended.
enum class AttemptOutcome {
  kCompleted,      ///< A whole answer has gone to the caller.
  kNotSent,        ///< No byte of the request has left.
  kRefused,        ///< The target says that it has not run it: overload.
  kNotLoaded,      ///< The target says that it does not have the model.
  kDiedUnstarted,  ///< The connection broke before the answer's first byte.
  kDiedStarted,    ///< It broke later; the caller has part of the answer.
  kTimedOut,       ///< The target did not answer in time.
};

struct AttemptEnded {
  const RequestId request;
  const AttemptNumber attempt;
  const AttemptOutcome outcome = AttemptOutcome::kCompleted;
  const int http_status = 0;  ///< Of the target's answer; 0 if none.

  friend auto operator<=>(const AttemptEnded&, const AttemptEnded&) = default;
  friend bool operator==(const AttemptEnded&, const AttemptEnded&) = default;
};

/// The answer's first byte has come; the deadline to start is met.
struct AttemptStarted {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const AttemptStarted&,
                          const AttemptStarted&) = default;
  friend bool operator==(const AttemptStarted&,
                         const AttemptStarted&) = default;
};

/// The caller's connection is gone.
struct CallerGone {
  const RequestId request;

  friend auto operator<=>(const CallerGone&, const CallerGone&) = default;
  friend bool operator==(const CallerGone&, const CallerGone&) = default;
};

/// A message has come from the steward, or over it from another host.
struct LinkReceived {
  const Envelope envelope;

  friend auto operator<=>(const LinkReceived&, const LinkReceived&) = default;
  friend bool operator==(const LinkReceived&, const LinkReceived&) = default;
};

/// The link to the steward is up or down.
struct LinkChanged {
  const bool is_up = false;

  friend auto operator<=>(const LinkChanged&, const LinkChanged&) = default;
  friend bool operator==(const LinkChanged&, const LinkChanged&) = default;
};

/// Comes every kEntryTickInterval.
struct EntryTick {
  friend auto operator<=>(const EntryTick&, const EntryTick&) = default;
  friend bool operator==(const EntryTick&, const EntryTick&) = default;
};

/// A planned stop has been asked for.
struct EntryStopRequested {
  friend auto operator<=>(const EntryStopRequested&,
                          const EntryStopRequested&) = default;
  friend bool operator==(const EntryStopRequested&,
                         const EntryStopRequested&) = default;
};

using EntryEvent = std::variant<RequestArrived,
                                AttemptStarted,
                                AttemptEnded,
                                CallerGone,
                                LinkReceived,
                                LinkChanged,
                                EntryTick,
                                EntryStopRequested>;

/// Send the request to a target. An AttemptEnded follows in any case.
struct Dispatch {
  const RequestId request;
  const AttemptNumber attempt;
  const TargetId target;
  const std::string address;
  const std::optional<ModelId> model;  ///< As the target is to be asked.
  const Duration start_within{};       ///< Until the answer's first byte.
  const bool idempotent = false;  ///< May go over a connection used before.

  friend auto operator<=>(const Dispatch&, const Dispatch&) = default;
  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// End an attempt: close its connection. An AttemptEnded follows.
struct CancelAttempt {
  const RequestId request;
  const AttemptNumber attempt;

  friend auto operator<=>(const CancelAttempt&, const CancelAttempt&) = default;
  friend bool operator==(const CancelAttempt&, const CancelAttempt&) = default;
};

/// Answer the caller with an error.
struct Refuse {
  const RequestId request;
  const Error error;
  const RunState run_state = RunState::kNotRun;
  const std::optional<Duration> retry_after;

  friend auto operator<=>(const Refuse&, const Refuse&) = default;
  friend bool operator==(const Refuse&, const Refuse&) = default;
};

/// Send to the steward, or over it to `envelope.to`.
struct SendLink {
  const Envelope envelope;

  friend auto operator<=>(const SendLink&, const SendLink&) = default;
  friend bool operator==(const SendLink&, const SendLink&) = default;
};

/// All running requests have ended after a stop was asked for.
struct EntryDrained {
  friend auto operator<=>(const EntryDrained&, const EntryDrained&) = default;
  friend bool operator==(const EntryDrained&, const EntryDrained&) = default;
};

using EntryEffect = std::variant<Dispatch,
                                 CancelAttempt,
                                 Refuse,
                                 SendLink,
                                 DecisionLine,
                                 EntryDrained>;

inline constexpr Duration kEntryTickInterval = std::chrono::milliseconds(10);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_MESSAGES_H_
