#ifndef CICADALOFT_FORWARDING_NODE_MESSAGES_H_
#define CICADALOFT_FORWARDING_NODE_MESSAGES_H_

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
struct CallerArrived {
  const std::shared_ptr<const CallerRequest> request;
  const std::shared_ptr<SessionMailbox> session;

  friend auto operator<=>(const CallerArrived&, const CallerArrived&) = default;
  friend bool operator==(const CallerArrived&, const CallerArrived&) = default;
};

/// The session has done with a request, answered or not.
struct CallerDone {
  const RequestId request;

  friend auto operator<=>(const CallerDone&, const CallerDone&) = default;
  friend bool operator==(const CallerDone&, const CallerDone&) = default;
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
struct ConnectionFreed {
  const std::string address;
  const std::shared_ptr<TargetConnection> connection;
  const Duration idle_timeout{};  ///< The target closes it after so long.

  friend auto operator<=>(const ConnectionFreed&,
                          const ConnectionFreed&) = default;
  friend bool operator==(const ConnectionFreed&,
                         const ConnectionFreed&) = default;
};

/// The admin endpoint wants to know something.
struct AdminQuestion {
  const AdminAsk request;
  const std::shared_ptr<AdminMailbox> reply_to;

  friend auto operator<=>(const AdminQuestion&, const AdminQuestion&) = default;
  friend bool operator==(const AdminQuestion&, const AdminQuestion&) = default;
};

/// The program is about to end. An EntryDrained follows as soon as no request
/// is open, which may be at once.
struct DrainAsked {
  /// The time to stop is over: it follows in any case, and what is open is cut.
  const bool ends_now = false;

  friend auto operator<=>(const DrainAsked&, const DrainAsked&) = default;
  friend bool operator==(const DrainAsked&, const DrainAsked&) = default;
};

/// All that the node task hears of.
using NodeMessage = std::variant<EntryEvent,
                                 CallerArrived,
                                 CallerDone,
                                 CallerRejected,
                                 ConnectionFreed,
                                 AdminQuestion,
                                 DrainAsked>;

using NodeMailbox = Mailbox<NodeMessage>;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_NODE_MESSAGES_H_
