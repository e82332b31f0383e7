#ifndef CICADALOFT_FORWARDING_REQUEST_READER_H_
#define CICADALOFT_FORWARDING_REQUEST_READER_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "caller_connection.h"
#include "cicadaloft/forwarding/forwarding_settings.h"

namespace cicadaloft {

/// Reads a caller's requests and tells the session of each, and of the
/// caller's leaving. Reads at most one request ahead of the one being served.
boost::asio::awaitable<void> ReadRequests(
    std::shared_ptr<CallerConnection> connection,
    CallerLimits limits);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_REQUEST_READER_H_
