#ifndef CICADALOFT_FORWARDING_ORIGIN_MESSAGES_H_
#define CICADALOFT_FORWARDING_ORIGIN_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <memory>
#include <variant>

#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/resumption/messages.h"

namespace cicadaloft {

using OriginRecordedMailbox = Mailbox<OriginRecorded>;

/// From an exchange: a target has begun to respond with a stream. One reply
/// follows.
struct OriginRecordCall {
  const OriginRecord record;
  const std::shared_ptr<OriginRecordedMailbox> reply_to;

  friend auto operator<=>(const OriginRecordCall&,
                          const OriginRecordCall&) = default;
  friend bool operator==(const OriginRecordCall&,
                         const OriginRecordCall&) = default;
};

/// All messages to the task that keeps the origins of streams. The reply to
/// LookUpOrigin goes to the entry task.
using OriginTaskMessage =
    std::variant<OriginRecordCall, LookUpOrigin, OriginEvent>;
using OriginTaskMailbox = Mailbox<OriginTaskMessage>;

/// Messages that may queue in its mailbox.
inline constexpr std::size_t kOriginTaskMailboxCapacity = 1024;

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ORIGIN_MESSAGES_H_
