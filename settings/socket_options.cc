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

// A dead peer shows after about three seconds, the shortest span after which
// the platform calls a host undisturbed again.
constexpr int kIdleSeconds = 1;
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;
constexpr int kUnacknowledgedMs = 3000;

}  // namespace

void SetKeepAliveOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  std::ignore = socket.set_option(tcp::no_delay(true), ignored);
  std::ignore =
      socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  std::ignore =
      socket.set_option(TcpOption<TCP_KEEPIDLE>(kIdleSeconds), ignored);
  std::ignore =
      socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeSeconds), ignored);
  std::ignore = socket.set_option(TcpOption<TCP_KEEPCNT>(kProbes), ignored);
  std::ignore = socket.set_option(
      TcpOption<TCP_USER_TIMEOUT>(kUnacknowledgedMs), ignored);
}

void EnableResetOnClose(tcp::socket& socket) {
  boost::system::error_code ignored;
  std::ignore =
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void AbortConnection(tcp::socket& socket) {
  EnableResetOnClose(socket);
  boost::system::error_code ignored;
  std::ignore = socket.close(ignored);
}

}  // namespace cicadaloft
