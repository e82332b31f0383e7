#ifndef CICADALOFT_SETTINGS_SOCKET_OPTIONS_H_
#define CICADALOFT_SETTINGS_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

namespace cicadaloft {

/// Makes a connection fail within a few seconds after its peer has stopped
/// responding: by keep-alive probes while it is idle, and by a timeout for
/// unacknowledged bytes. Also disables Nagle's algorithm, so that small writes
/// are sent without delay. Options that the system rejects are skipped: the
/// callers' own deadlines still bound each wait.
void SetKeepAliveOptions(boost::asio::ip::tcp::socket& socket);

/// Opens a socket that is about to connect, so that its local port, which the
/// system chooses, keeps no listener from that port: neither while the
/// connection is open nor in the 60 s of TIME_WAIT after it. After an error the
/// connect reports it.
void OpenForConnect(boost::asio::ip::tcp::socket& socket,
                    const boost::asio::ip::tcp::endpoint& peer);

/// Makes the close of the connection send a reset, also when the kernel closes
/// it because the process has ended.
void EnableResetOnClose(boost::asio::ip::tcp::socket& socket);

/// Makes the close of the connection deliver what has been written.
void DisableResetOnClose(boost::asio::ip::tcp::socket& socket);

/// Resets a connection, so that bytes that have not been delivered yet never
/// are: after a plain close the system would still deliver them, even long
/// after a network partition has ended.
void AbortConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace cicadaloft

#endif  // CICADALOFT_SETTINGS_SOCKET_OPTIONS_H_
