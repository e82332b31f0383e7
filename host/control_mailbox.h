#ifndef CICADALOFT_HOST_CONTROL_MAILBOX_H_
#define CICADALOFT_HOST_CONTROL_MAILBOX_H_

#include <cstddef>

#include "cicadaloft/control/messages.h"
#include "cicadaloft/core/mailbox.h"

namespace cicadaloft {

using ControlMailbox = Mailbox<ControlEvent>;

/// Messages that may wait for the control task.
inline constexpr std::size_t kControlRoom = 4096;

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_CONTROL_MAILBOX_H_
