#include "host_listeners.h"

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/backoff.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/forwarding/exchange_params.h"
#include "cicadaloft/forwarding/with_timeout.h"
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Acceptors = std::vector<HostListeners::Acceptor>;

constexpr Duration kMinListenDelay = std::chrono::milliseconds(20);
constexpr Duration kMaxListenDelay = std::chrono::milliseconds(500);

struct NamedEndpoint {
  const std::string name;
  const tcp::endpoint endpoint;
};

struct ListenFailure {
  const std::string address;
  const error_code error;
};

bool MayPass(const error_code& error) {
  return error == asio::error::address_in_use ||
         error == boost::system::errc::address_not_available;
}

Error MakeListenError(const ListenFailure& failure) {
  return MakeError(ErrorKind::kSettingsInvalid,
                   "address " + failure.address +
                       ": can't listen: " + failure.error.message());
}

Result<std::vector<NamedEndpoint>> ParseAddresses(
    const HostSettings& settings) {
  std::vector<std::string> addresses = {settings.listen, settings.ready_listen,
                                        settings.admin_listen,
                                        settings.peer_listen};
  if (!settings.own_listen.empty()) {
    addresses.push_back(settings.own_listen);
  }
  std::vector<NamedEndpoint> endpoints;
  for (const std::string& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      return MakeError(ErrorKind::kSettingsInvalid,
                       "address " + address + ": expected IP:port");
    }
    endpoints.push_back(NamedEndpoint{.name = address, .endpoint = *endpoint});
  }
  return endpoints;
}

error_code Bind(tcp::acceptor& acceptor, const tcp::endpoint& endpoint) {
  error_code error;
  std::ignore = acceptor.open(endpoint.protocol(), error);
  if (!error) {
    std::ignore =
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    std::ignore = acceptor.bind(endpoint, error);
  }
  return error;
}

// Listens only once all are bound: a caller whose connection the kernel has
// accepted would lose it if another address weren't there.
std::variant<Acceptors, ListenFailure> Listen(
    const asio::any_io_executor& executor,
    const std::vector<NamedEndpoint>& endpoints) {
  Acceptors acceptors;
  for (const NamedEndpoint& item : endpoints) {
    acceptors.push_back(std::make_shared<tcp::acceptor>(executor));
    if (const error_code error = Bind(*acceptors.back(), item.endpoint)) {
      return ListenFailure{.address = item.name, .error = error};
    }
  }
  for (std::size_t i = 0; i < acceptors.size(); ++i) {
    error_code error;
    std::ignore =
        acceptors[i]->listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return ListenFailure{.address = endpoints[i].name, .error = error};
    }
  }
  return acceptors;
}

HostListeners ToListeners(const Acceptors& acceptors) {
  constexpr std::size_t kOwnIndex = 4;
  return HostListeners{.caller = acceptors[0],
                       .readiness = acceptors[1],
                       .admin = acceptors[2],
                       .peer = acceptors[3],
                       .native_caller = acceptors.size() > kOwnIndex
                                            ? acceptors[kOwnIndex]
                                            : nullptr};
}

}  // namespace

asio::awaitable<Result<HostListeners>> AwaitHostListeners(
    HostSettings settings,
    std::shared_ptr<StopSignal> stop) {
  const auto endpoints = ParseAddresses(settings);
  if (!IsOk(endpoints)) {
    co_return ErrorOf(endpoints);
  }
  const Log log("host");
  const auto executor = co_await asio::this_coro::executor;
  const auto deadline = std::chrono::steady_clock::now() + kAddressWait;
  Backoff backoff(kMinListenDelay, kMaxListenDelay,
                  StableHash(settings.host.value()));
  bool is_waiting = false;
  while (true) {
    const auto opened = Listen(executor, ValueOf(endpoints));
    if (const auto* acceptors = std::get_if<Acceptors>(&opened)) {
      if (is_waiting) {
        log.Info("has all addresses now");
      }
      co_return ToListeners(*acceptors);
    }
    const auto& failure = std::get<ListenFailure>(opened);
    const Error error = MakeListenError(failure);
    if (!MayPass(failure.error) || IsStopRequested(*stop) ||
        std::chrono::steady_clock::now() >= deadline) {
      co_return error;
    }
    if (!std::exchange(is_waiting, true)) {
      log.Warn("waits for an address: " + error.message);
    }
    co_await WithTimeout(backoff.Next(), Receive(*stop));
  }
}

}  // namespace cicadaloft
