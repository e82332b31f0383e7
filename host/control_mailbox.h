#ifndef CICADALOFT_HOST_CONTROL_MAILBOX_H_
#define CICADALOFT_HOST_CONTROL_MAILBOX_H_

#include <cstddef>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/mailbox.h"

namespace cicadaloft {

using ControlMailbox = Mailbox<ControlEvent>;

/// Capacity of the control task's mailbox, in messages.
inline constexpr std::size_t kControlMailboxCapacity = 4096;

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_CONTROL_MAILBOX_H_
