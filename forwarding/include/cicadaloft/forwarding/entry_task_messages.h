#ifndef CICADALOFT_FORWARDING_ENTRY_TASK_MESSAGES_H_
#define CICADALOFT_FORWARDING_ENTRY_TASK_MESSAGES_H_

#include <memory>
#include <string>
#include <variant>

#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/forwarding/admin_messages.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// A connection to a target; defined with the exchanges that use it.
struct TargetConnection;

using SessionMailbox = Mailbox<SessionMessage>;
using AdminMailbox = Mailbox<AdminReply>;

/// A caller's request, and where its answer is to go.
struct RequestReceived {
  const std::shared_ptr<const CallerRequest> request;
  const std::shared_ptr<SessionMailbox> session;

  friend auto operator<=>(const RequestReceived&,
                          const RequestReceived&) = default;
  friend bool operator==(const RequestReceived&,
                         const RequestReceived&) = default;
};

/// The session has done with a request, answered or not.
struct RequestFinished {
  const RequestId request;

  friend auto operator<=>(const RequestFinished&,
                          const RequestFinished&) = default;
  friend bool operator==(const RequestFinished&,
                         const RequestFinished&) = default;
};

/// A session has refused input that is no request.
struct CallerRejected {
  const RequestId request;
  const ErrorKind kind = ErrorKind::kMalformedRequest;

  friend auto operator<=>(const CallerRejected&,
                          const CallerRejected&) = default;
  friend bool operator==(const CallerRejected&,
                         const CallerRejected&) = default;
};

/// A target connection after a whole answer, ready for another request.
struct ConnectionReleased {
  const std::string address;
  const std::shared_ptr<TargetConnection> connection;
  const Duration idle_timeout{};  ///< The target closes it after so long.

  friend auto operator<=>(const ConnectionReleased&,
                          const ConnectionReleased&) = default;
  friend bool operator==(const ConnectionReleased&,
                         const ConnectionReleased&) = default;
};

/// The admin endpoint wants to know something.
struct AdminCall {
  const AdminRequest request;
  const std::shared_ptr<AdminMailbox> reply_to;

  friend auto operator<=>(const AdminCall&, const AdminCall&) = default;
  friend bool operator==(const AdminCall&, const AdminCall&) = default;
};

/// The program is about to end. An EntryDrained follows as soon as no request
/// is open, which may be at once.
struct DrainRequest {
  /// The time to stop is over: it follows in any case, and what is open is cut.
  const bool is_forced = false;

  friend auto operator<=>(const DrainRequest&, const DrainRequest&) = default;
  friend bool operator==(const DrainRequest&, const DrainRequest&) = default;
};

/// All that the node task hears of.
using EntryTaskMessage = std::variant<EntryEvent,
                                      RequestReceived,
                                      RequestFinished,
                                      CallerRejected,
                                      ConnectionReleased,
                                      AdminCall,
                                      DrainRequest>;

using EntryTaskMailbox = Mailbox<EntryTaskMessage>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_TASK_MESSAGES_H_
