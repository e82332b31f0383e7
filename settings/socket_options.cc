#include "cicadaloft/settings/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <tuple>

namespace cicadaloft {
namespace {

using boost::asio::ip::tcp;
template <int Name>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

// A dead peer is detected after about three seconds, the shortest time after
// which the platform considers a host recovered from a disturbance.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;
constexpr int kUnacknowledgedTimeoutMs = 3000;

}  // namespace

void SetKeepAliveOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  std::ignore = socket.set_option(tcp::no_delay(true), ignored);
  std::ignore =
      socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  std::ignore = socket.set_option(
      TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  std::ignore = socket.set_option(
      TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
  std::ignore =
      socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbeCount), ignored);
  std::ignore = socket.set_option(
      TcpOption<TCP_USER_TIMEOUT>(kUnacknowledgedTimeoutMs), ignored);
}

void OpenForConnect(tcp::socket& socket, const tcp::endpoint& peer) {
  boost::system::error_code ignored;
  std::ignore = socket.open(peer.protocol(), ignored);
  std::ignore =
      socket.set_option(boost::asio::socket_base::reuse_address(true), ignored);
}

void EnableResetOnClose(tcp::socket& socket) {
  boost::system::error_code ignored;
  std::ignore =
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void DisableResetOnClose(tcp::socket& socket) {
  boost::system::error_code ignored;
  std::ignore =
      socket.set_option(boost::asio::socket_base::linger(false, 0), ignored);
}

void AbortConnection(tcp::socket& socket) {
  EnableResetOnClose(socket);
  boost::system::error_code ignored;
  std::ignore = socket.close(ignored);
}

}  // namespace cicadaloft
