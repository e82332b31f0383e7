#ifndef CICADALOFT_SETTINGS_SOCKET_OPTIONS_H_
#define CICADALOFT_SETTINGS_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace cicadaloft {

/// Makes a connection whose other end has fallen silent break within a few
/// seconds: by probes while it is idle, and by a limit for unacknowledged
/// bytes. Also sends small pieces at once. Options that the system refuses are
/// left out: deadlines of the callers still bound each wait.
void SetKeepAliveOptions(boost::asio::ip::tcp::socket& socket);

/// Makes each close of the connection a reset.
void EnableResetOnClose(boost::asio::ip::tcp::socket& socket);

/// Closes a connection so that bytes which have not arrived yet never do: a
/// plain close would go on delivering them, also long after a cut has healed.
void AbortConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace cicadaloft

#endif  // CICADALOFT_SETTINGS_SOCKET_OPTIONS_H_
