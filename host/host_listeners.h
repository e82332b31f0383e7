#ifndef CICADALOFT_HOST_HOST_LISTENERS_H_
#define CICADALOFT_HOST_HOST_LISTENERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <compare>
#include <memory>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "host_settings.h"
#include "signal_task.h"

namespace cicadaloft {

/// How long a start waits for an address that another socket has or that the
/// machine doesn't have yet. A closed connection of Linux keeps its port in
/// TIME_WAIT for 60 s.
inline constexpr Duration kAddressWait = std::chrono::seconds(75);

/// How long a start waits for the default of forward_listen, which the process
/// before may still have.
inline constexpr Duration kForwardAddressWait = std::chrono::seconds(2);

/// The sockets on which a host accepts connections.
struct HostListeners {
  using Acceptor = std::shared_ptr<boost::asio::ip::tcp::acceptor>;

  const Acceptor caller;
  const Acceptor readiness;
  const Acceptor admin;
  const Acceptor peer;
  const Acceptor native_caller;  ///< Null without own_listen in the settings.
  /// Null without forward_listen, or if its default is in use.
  const Acceptor forwarded;

  friend auto operator<=>(const HostListeners&, const HostListeners&) = default;
  friend bool operator==(const HostListeners&, const HostListeners&) = default;
};

/// Opens the host's addresses, all or none, and waits while one of them is in
/// use or isn't there. Accepts no connection before it has all. Goes on without
/// the default of forward_listen after kForwardAddressWait.
/// @param stop ends the wait.
/// @return the listeners, or kSettingsInvalid.
boost::asio::awaitable<Result<HostListeners>> AwaitHostListeners(
    HostSettings settings,
    std::shared_ptr<StopSignal> stop);

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_HOST_LISTENERS_H_
