#ifndef CICADALOFT_HOST_SETTINGS_WAIT_H_
#define CICADALOFT_HOST_SETTINGS_WAIT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "host_settings.h"
#include "signal_task.h"

namespace cicadaloft {

/// How long a start waits for a settings file that is absent, empty or half
/// written, such as while it is replaced.
inline constexpr Duration kSettingsWait = std::chrono::seconds(5);

/// Reads the settings, and reads them again while the file holds no whole
/// document. Wrong content of a whole document fails at once.
/// @param stop ends the wait.
/// @return the settings, or kSettingsInvalid.
boost::asio::awaitable<Result<HostSettings>> AwaitHostSettings(
    std::string path,
    std::shared_ptr<StopSignal> stop);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_SETTINGS_WAIT_H_
