#include "host_listeners.h"

#include <algorithm>
#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <optional>
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
  const std::optional<tcp::endpoint> endpoint;  ///< None: it is not served.
  const bool is_optional = false;  ///< The host also starts without it.
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

// In the order of the members of HostListeners.
Result<std::vector<NamedEndpoint>> ParseAddresses(
    const HostSettings& settings) {
  const std::array addresses = {settings.listen,       settings.ready_listen,
                                settings.admin_listen, settings.peer_listen,
                                settings.own_listen,   settings.forward_listen};
  constexpr std::size_t kRequired = 4;
  std::vector<NamedEndpoint> endpoints;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const std::string& address = addresses[i];
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint && (i < kRequired || !address.empty())) {
      return MakeError(ErrorKind::kSettingsInvalid,
                       "address " + address + ": expected IP:port");
    }
    endpoints.push_back(NamedEndpoint{
        .name = address,
        .endpoint = endpoint,
        .is_optional =
            settings.is_forward_listen_default && i + 1 == addresses.size()});
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
// @param needs_optional whether the optional ones must be bound as well.
std::variant<Acceptors, ListenFailure> Listen(
    const asio::any_io_executor& executor,
    const std::vector<NamedEndpoint>& endpoints,
    bool needs_optional) {
  Acceptors acceptors;
  for (const NamedEndpoint& item : endpoints) {
    acceptors.push_back(
        item.endpoint ? std::make_shared<tcp::acceptor>(executor) : nullptr);
    const error_code error =
        item.endpoint ? Bind(*acceptors.back(), *item.endpoint) : error_code();
    if (error && (needs_optional || !item.is_optional)) {
      return ListenFailure{.address = item.name, .error = error};
    }
    if (error) {
      Log("host").Warn("starts without an address: " + item.name + ": " +
                       error.message());
      acceptors.back() = nullptr;
    }
  }
  for (std::size_t i = 0; i < acceptors.size(); ++i) {
    error_code error;
    if (acceptors[i] != nullptr) {
      std::ignore = acceptors[i]->listen(
          asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return ListenFailure{.address = endpoints[i].name, .error = error};
    }
  }
  return acceptors;
}

HostListeners ToListeners(const Acceptors& acceptors) {
  return HostListeners{.caller = acceptors[0],
                       .readiness = acceptors[1],
                       .admin = acceptors[2],
                       .peer = acceptors[3],
                       .native_caller = acceptors[4],
                       .forwarded = acceptors[5]};
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
  const auto start = std::chrono::steady_clock::now();
  const auto deadline = start + kAddressWait;
  Backoff backoff(kMinListenDelay, kMaxListenDelay,
                  StableHash(settings.host.value()));
  bool is_waiting = false;
  while (true) {
    const bool needs_optional =
        std::chrono::steady_clock::now() < start + kForwardAddressWait;
    const auto opened = Listen(executor, ValueOf(endpoints), needs_optional);
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
