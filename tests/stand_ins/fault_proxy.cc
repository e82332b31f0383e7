// A TCP proxy on loopback that disturbs the connections through it: delays,
// resets, bytes that one or both sides never get, connections that are refused
// or end in the middle of a response. Faults are injected by a request.

#include <docopt/docopt.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>

#include "http_server.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

constexpr char kUsage[] = R"(A TCP proxy that injects faults.

Usage: fault_proxy --listen ADDRESS --to ADDRESS --admin ADDRESS

Options:
  --listen ADDRESS  Address to accept connections on, "IP:port".
  --to ADDRESS      Address that they are connected to.
  --admin ADDRESS   Address for these requests:
    POST /admin/fault?kind=K&for_ms=N  injects a fault for N ms; K:
      delay     holds what is read for &ms=D, both ways
      reset     resets all open connections, once
      cut_up    bytes toward --to are lost; the connections stay open
      cut_down  bytes from --to are lost; the connections stay open
      silence   both; new connections are accepted and get nothing
      refuse    new connections are reset
      half      the next connection ends one byte before the end of the first part
                of its response
    GET /admin/counts  open connections, and bytes lost

A connection that has lost bytes never gets later ones in that direction, as TCP
delivers no stream with a gap.
)";

constexpr std::size_t kBufferBytes = 65536;
/// A fault may be ended early by a request.
constexpr milliseconds kEndCheckInterval{50};

tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  std::ignore = socket.set_option(asio::socket_base::linger(true, 0), ignored);
  std::ignore = socket.close(ignored);
}

asio::awaitable<void> Sleep(auto& socket, Clock::time_point until) {
  asio::steady_timer timer(socket.get_executor(), until);
  co_await timer.async_wait(kNoThrow);
}

/// The faults in force, and what they have done.
struct Faults {
  std::map<std::string, Clock::time_point> ends;
  milliseconds delay{200};
  std::uint64_t open = 0;
  std::uint64_t lost_bytes = 0;

  Clock::time_point EndOf(const std::string& kind) const {
    const auto found = this->ends.find(kind);
    return found == this->ends.end() ? Clock::time_point::min() : found->second;
  }
  bool Has(const std::string& kind) const {
    return Clock::now() < this->EndOf(kind);
  }
};

/// Its two directions run as one task each.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket caller, std::shared_ptr<Faults> faults)
      : caller(std::move(caller)),
        target(this->caller.get_executor()),
        faults(std::move(faults)) {
    ++this->faults->open;
  }
  ~Connection() { --this->faults->open; }

  void ResetBoth() {
    Reset(this->caller);
    Reset(this->target);
  }

  /// @param ends_half whether it ends in the middle of the first response.
  static asio::awaitable<void> Run(std::shared_ptr<Connection> self,
                                   tcp::endpoint to,
                                   bool ends_half) {
    const auto [error] = co_await self->target.async_connect(to, kNoThrow);
    if (error) {
      self->ResetBoth();
      co_return;
    }
    boost::system::error_code ignored;
    std::ignore = self->caller.set_option(tcp::no_delay(true), ignored);
    std::ignore = self->target.set_option(tcp::no_delay(true), ignored);
    const auto executor = self->caller.get_executor();
    asio::co_spawn(executor,
                   Copy(self, self->caller, self->target, "cut_up", false),
                   asio::detached);
    co_await Copy(self, self->target, self->caller, "cut_down", ends_half);
  }

 private:
  static asio::awaitable<void> Copy(std::shared_ptr<Connection> self,
                                    tcp::socket& from,
                                    tcp::socket& to,
                                    std::string cut,
                                    bool ends_half) {
    std::array<char, kBufferBytes> buffer{};
    bool has_gap = false;
    while (true) {
      const auto [error, size] =
          co_await from.async_read_some(asio::buffer(buffer), kNoThrow);
      has_gap = has_gap || self->IsCut(cut);
      if (error) {
        co_await self->End(to, cut, error, has_gap);
        co_return;
      }
      if (has_gap) {
        self->faults->lost_bytes += size;
        continue;
      }
      if (self->faults->Has("delay")) {
        co_await Sleep(from, Clock::now() + self->faults->delay);
      }
      const std::size_t count = ends_half ? size - 1 : size;
      const auto [write_error, written] = co_await asio::async_write(
          to, asio::buffer(buffer.data(), count), kNoThrow);
      if (write_error) {
        Reset(from);
      } else if (ends_half) {
        self->caller.close();
        self->target.close();
      }
    }
  }

  bool IsCut(const std::string& cut) const {
    return this->faults->Has(cut) || this->faults->Has("silence");
  }

  // The end of one side reaches the other, when no fault prevents it any more.
  asio::awaitable<void> End(tcp::socket& to,
                            std::string cut,
                            boost::system::error_code error,
                            bool has_gap) {
    while (this->IsCut(cut)) {
      co_await Sleep(to, Clock::now() + kEndCheckInterval);
    }
    if (error == asio::error::eof && !has_gap) {
      boost::system::error_code ignored;
      std::ignore = to.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      Reset(to);
    }
  }

  tcp::socket caller;
  tcp::socket target;
  const std::shared_ptr<Faults> faults;
};

/// Accepts the connections and injects the faults.
class Proxy {
 public:
  Proxy(asio::io_context& context, tcp::endpoint listen, tcp::endpoint to)
      : acceptor(context, listen), to(std::move(to)) {}

  asio::awaitable<void> Run() {
    while (true) {
      auto [error, socket] = co_await this->acceptor.async_accept(kNoThrow);
      if (error) {
        co_await Sleep(this->acceptor, Clock::now() + milliseconds(10));
        continue;
      }
      if (this->faults->Has("refuse")) {
        Reset(socket);
        continue;
      }
      const bool ends_half = this->faults->Has("half");
      this->faults->ends.erase("half");
      const auto executor = socket.get_executor();
      auto connection =
          std::make_shared<Connection>(std::move(socket), this->faults);
      std::erase_if(this->open, [](const auto& old) { return old.expired(); });
      this->open.push_back(connection);
      asio::co_spawn(
          executor, Connection::Run(std::move(connection), this->to, ends_half),
          asio::detached);
    }
  }

  Response Handle(const Request& request) {
    const std::string target(request.target());
    const auto query = QueryOf(target);
    if (PathOf(target) == "/admin/counts") {
      return MakeResponse(200,
                          "{\"open\":" + std::to_string(this->faults->open) +
                              ",\"lost_bytes\":" +
                              std::to_string(this->faults->lost_bytes) + "}");
    }
    if (!query.contains("kind") || !query.contains("for_ms")) {
      return MakeResponse(400);
    }
    const std::string& kind = query.at("kind");
    this->faults->ends[kind] =
        Clock::now() + milliseconds(std::stoi(query.at("for_ms")));
    if (query.contains("ms")) {
      this->faults->delay = milliseconds(std::stoi(query.at("ms")));
    }
    for (const auto& weak : this->open) {
      const auto connection = weak.lock();
      if (kind == "reset" && connection != nullptr) {
        connection->ResetBoth();
      }
    }
    return MakeResponse(200);
  }

 private:
  tcp::acceptor acceptor;
  const tcp::endpoint to;
  const std::shared_ptr<Faults> faults = std::make_shared<Faults>();
  std::list<std::weak_ptr<Connection>> open;
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context(1);
  Proxy proxy(context, EndpointOf(options["--listen"].asString()),
              EndpointOf(options["--to"].asString()));
  boost::asio::co_spawn(context, proxy.Run(), boost::asio::detached);
  Serve(context, options["--admin"].asString(),
        [&proxy](const Request& request,
                 Socket& socket) -> boost::asio::awaitable<bool> {
          return Write(socket, proxy.Handle(request));
        });
}
