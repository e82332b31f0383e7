#ifndef CICADALOFT_HOST_HOST_PROCESS_H_
#define CICADALOFT_HOST_HOST_PROCESS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "process_end.h"
#include "process_log.h"
#include "signal_task.h"

namespace cicadaloft {

/// Starts the host, serves until the stop is requested, and stops.
/// @param settings_path of the settings file.
/// @param log gets the level of the settings.
/// @param stop the request may come at any moment; before the host serves, the
/// process ends without having served.
/// @return how the process ends.
boost::asio::awaitable<ProcessEnd> RunHost(boost::asio::io_context& context,
                                           std::string settings_path,
                                           ProcessLog& log,
                                           std::shared_ptr<StopSignal> stop);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_HOST_PROCESS_H_
