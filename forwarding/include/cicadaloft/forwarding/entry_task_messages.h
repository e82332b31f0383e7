#ifndef CICADALOFT_FORWARDING_ENTRY_TASK_MESSAGES_H_
#define CICADALOFT_FORWARDING_ENTRY_TASK_MESSAGES_H_

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/forwarding/admin_messages.h"
#include "cicadaloft/forwarding/messages.h"
#include "cicadaloft/telemetry/metrics.h"

namespace cicadaloft {

/// A connection to a target; defined in target_connection.h.
struct TargetConnection;

using SessionMailbox = Mailbox<SessionMessage>;
using AdminMailbox = Mailbox<AdminReply>;

/// A caller's request, and the mailbox of the session that writes its response.
struct RequestReceived {
  const std::shared_ptr<const CallerRequest> request;
  const std::shared_ptr<SessionMailbox> session;

  friend auto operator<=>(const RequestReceived&,
                          const RequestReceived&) = default;
  friend bool operator==(const RequestReceived&,
                         const RequestReceived&) = default;
};

/// A session has finished with a request, whether or not it responded.
struct RequestFinished {
  const RequestId request;

  friend auto operator<=>(const RequestFinished&,
                          const RequestFinished&) = default;
  friend bool operator==(const RequestFinished&,
                         const RequestFinished&) = default;
};

/// A caller was rejected before its input became a request.
struct CallerRejected {
  const RequestId request;
  const ErrorKind kind = ErrorKind::kMalformedRequest;

  friend auto operator<=>(const CallerRejected&,
                          const CallerRejected&) = default;
  friend bool operator==(const CallerRejected&,
                         const CallerRejected&) = default;
};

/// A target connection after a complete response, ready for another request.
struct ConnectionReleased {
  const std::string address;
  const std::shared_ptr<TargetConnection> connection;
  const Duration idle_timeout{};  ///< After which the target closes it.

  friend auto operator<=>(const ConnectionReleased&,
                          const ConnectionReleased&) = default;
  friend bool operator==(const ConnectionReleased&,
                         const ConnectionReleased&) = default;
};

/// A request from the admin endpoint, and the mailbox for its reply.
struct AdminCall {
  const AdminRequest request;
  const std::shared_ptr<AdminMailbox> reply_to;

  friend auto operator<=>(const AdminCall&, const AdminCall&) = default;
  friend bool operator==(const AdminCall&, const AdminCall&) = default;
};

/// The program is about to end. An EntryDrained follows as soon as no request
/// is open, which may be immediately.
struct DrainRequest {
  /// The grace period has expired: the EntryDrained follows in any case, and
  /// open requests are aborted.
  const bool is_forced = false;

  friend auto operator<=>(const DrainRequest&, const DrainRequest&) = default;
  friend bool operator==(const DrainRequest&, const DrainRequest&) = default;
};

/// Another task of this host has new values of a gauge; they replace all
/// earlier ones.
struct GaugeReplaced {
  const std::string name;
  const std::vector<GaugeSeries> series;

  friend auto operator<=>(const GaugeReplaced&, const GaugeReplaced&) = default;
  friend bool operator==(const GaugeReplaced&, const GaugeReplaced&) = default;
};

/// A window of usage reports is due, sent, late or skipped; for the metrics,
/// which the entry task keeps.
struct UsageWindowCounted {
  const std::string outcome;

  friend auto operator<=>(const UsageWindowCounted&,
                          const UsageWindowCounted&) = default;
  friend bool operator==(const UsageWindowCounted&,
                         const UsageWindowCounted&) = default;
};

/// All messages to the entry task.
using EntryTaskMessage = std::variant<EntryEvent,
                                      RequestReceived,
                                      RequestFinished,
                                      CallerRejected,
                                      ConnectionReleased,
                                      AdminCall,
                                      UsageWindowCounted,
                                      GaugeReplaced,
                                      DrainRequest>;

using EntryTaskMailbox = Mailbox<EntryTaskMessage>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_TASK_MESSAGES_H_
