// Model runners of the platform in one process, each with an address of its
// own. A runner that begins to answer a request with the deadly prompt part
// crashes: it resets its connections, stops listening and is back after some
// seconds, empty and with a new "born". All else is as the platform's pages
// say of sound runners.

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "../../tests/stand_ins/http_server.h"
#include "registry.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using asio::ip::tcp;

constexpr char kUsage[] = R"(Runners that a prompt part crashes.

Usage:
  runners --first-port N --count N --service NAME --store ADDRESS
          --models NAMES --record FILE [--deadly-part ID] [--down-ms N]

Options:
  --first-port N   Port of the first runner on 127.0.0.1.
  --count N        Number of runners.
  --service NAME   The service that they belong to.
  --store ADDRESS  Address of the platform's store.
  --models NAMES   Models and adapters that they have at the start and on disk,
                   separated by commas.
  --record FILE    Appends a line for each request that a runner begins.
  --deadly-part ID Part of Prompt-Prefix that crashes a runner.
  --down-ms N      Time until a crashed runner is back [default: 3000].
)";

constexpr milliseconds kLoadTime(300);
constexpr milliseconds kEventInterval(20);
constexpr int kEventCount = 8;
constexpr int kSlots = 8;
constexpr milliseconds kIdleTimeout(5000);

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

// The last part is the request's own and never deadly.
bool HasPart(const std::string& prefix, const std::string& id) {
  const std::vector<std::string> parts = Split(prefix, ',');
  return !id.empty() && !parts.empty() &&
         std::ranges::any_of(parts.begin(), parts.end() - 1,
                             [&](const std::string& part) {
                               return part.substr(0, part.find(':')) == id;
                             });
}

struct Settings {
  std::string service;
  std::string store;
  std::vector<std::string> paths;
  std::string deadly_part;
  milliseconds down_time{};
};

class Runner : public std::enable_shared_from_this<Runner> {
 public:
  Runner(asio::io_context& context,
         Settings settings,
         int number,
         unsigned short port,
         std::ostream& record)
      : context(context),
        settings(std::move(settings)),
        id("runner-" + std::to_string(number)),
        endpoint(asio::ip::make_address("127.0.0.1"), port),
        acceptor(context),
        record(record),
        loaded(this->settings.paths.begin(), this->settings.paths.end()) {}

  void Start() {
    this->Listen();
    asio::co_spawn(this->context, Beat(this->shared_from_this()),
                   asio::detached);
  }

 private:
  void Listen() {
    this->born = UnixMs();
    this->acceptor.open(this->endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(this->endpoint);
    this->acceptor.listen();
    this->is_up = true;
    asio::co_spawn(this->context, Accept(this->shared_from_this()),
                   asio::detached);
  }

  static asio::awaitable<void> Accept(std::shared_ptr<Runner> self) {
    while (self->is_up) {
      auto [error, socket] = co_await self->acceptor.async_accept(
          asio::as_tuple(asio::use_awaitable));
      if (error) {
        co_return;
      }
      const auto shared = std::make_shared<Socket>(std::move(socket));
      self->sockets.insert(shared);
      asio::co_spawn(self->context, Converse(self, shared), asio::detached);
    }
  }

  static asio::awaitable<void> Converse(std::shared_ptr<Runner> self,
                                        std::shared_ptr<Socket> socket) {
    boost::beast::flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
      http::request_parser<http::string_body> parser;
      if (!co_await ReadRequest(*socket, buffer, parser, kIdleTimeout)) {
        break;
      }
      const Request request = parser.release();
      is_open = co_await self->Handle(request, *socket);
    }
    self->sockets.erase(socket);
  }

  // Writes the runner's entry about every heartbeat, and at each change.
  static asio::awaitable<void> Beat(std::shared_ptr<Runner> self) {
    asio::steady_timer timer(self->context);
    while (true) {
      if (self->is_up) {
        co_await self->Register();
      }
      timer.expires_after(kHeartbeat);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> Register() {
    ++this->beat_count;
    co_await WriteEntry(this->context, this->settings.store, this->id,
                        this->Entry().dump());
  }

  json Entry() const {
    std::map<std::string, json> models;
    json disk = json::array();
    for (const std::string& path : this->loaded) {
      const std::size_t slash = path.find('/');
      json& model = models[path.substr(0, slash)];
      model["name"] = path.substr(0, slash);
      model["version"] = 1;
      if (!model.contains("adapters")) {
        model["adapters"] = json::array();
      }
      if (slash != std::string::npos) {
        model["adapters"].push_back(path.substr(slash + 1));
      }
    }
    for (const std::string& path : this->settings.paths) {
      if (path.find('/') == std::string::npos) {
        disk.push_back(path);
      }
    }
    json list = json::array();
    for (const auto& [name, model] : models) {
      list.push_back(model);
    }
    return {{"service", this->settings.service},
            {"address", "127.0.0.1:" + std::to_string(this->endpoint.port())},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", kSlots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"born", this->born},
            {"sequence", this->beat_count},
            {"models", list},
            {"at_hand", {{"in_memory", json::array()}, {"on_disk", disk}}}};
  }

  asio::awaitable<bool> Handle(const Request& request, Socket& socket) {
    const std::string path = PathOf(std::string(request.target()));
    if (request.count("Expect-Instance") > 0 &&
        request["Expect-Instance"] != this->id) {
      co_return co_await this->Reject(request, socket, 421);
    }
    if (path == "/report") {
      json report = this->Entry();
      report["sequence"] = this->sequence;
      report["busy"] = Clock::now() < this->busy_until;
      co_return co_await Write(socket, MakeResponse(200, report.dump()));
    }
    if (path == "/order") {
      Response response = this->ExecuteOrder(request.body());
      const bool is_open = co_await Write(socket, std::move(response));
      co_await this->Register();
      co_return is_open;
    }
    const std::string model(request["Model"]);
    if (!this->loaded.contains(model)) {
      co_return co_await this->Reject(request, socket, 421);
    }
    if (Clock::now() < this->busy_until && model == this->loading) {
      co_return co_await this->Reject(request, socket, 503);
    }
    co_return co_await this->Run(request, socket);
  }

  Response ExecuteOrder(const std::string& body) {
    const json order = json::parse(body, nullptr, false);
    if (!order.is_object() || !order.contains("holder") ||
        !order.contains("fencing_token")) {
      return MakeResponse(400);
    }
    const bool has_conflict =
        Clock::now() < this->busy_until ||
        order.value("expect", this->sequence) != this->sequence;
    if (has_conflict) {
      return MakeResponse(409);
    }
    const std::string model = order["model"];
    const std::string adapter = order.value("adapter", "");
    const std::string path = adapter.empty() ? model : model + "/" + adapter;
    const bool is_load = order["operation"] == "load";
    if (is_load == this->loaded.contains(path)) {
      return MakeResponse(200);
    }
    ++this->sequence;
    if (!is_load) {
      std::erase_if(this->loaded, [&](const std::string& item) {
        return item == path ||
               (adapter.empty() && item.starts_with(model + "/"));
      });
      return MakeResponse(adapter.empty() ? 202 : 200);
    }
    this->loaded.insert(path);
    if (adapter.empty()) {
      this->busy_until = Clock::now() + kLoadTime;
      this->loading = path;
    }
    return MakeResponse(202);
  }

  static asio::awaitable<bool> Write(Socket& socket, Response response) {
    co_return co_await stand_ins::Write(socket, std::move(response));
  }

  asio::awaitable<bool> Reject(const Request& request,
                               Socket& socket,
                               unsigned status) {
    Response response = MakeResponse(status);
    response.set("Not-Executed", "1");
    response.set("Instance-Id", this->id);
    response.set("Request-Id", request["Request-Id"]);
    co_return co_await Write(socket, std::move(response));
  }

  asio::awaitable<bool> Run(const Request& request, Socket& socket) {
    const std::string request_id(request["Request-Id"]);
    const bool is_deadly = HasPart(std::string(request["Prompt-Prefix"]),
                                   this->settings.deadly_part);
    this->record << UnixMs() << " reached " << this->id << " " << request_id
                 << " " << request["Model"] << (is_deadly ? " deadly" : "")
                 << std::endl;
    const auto release = [self = this->shared_from_this(),
                          crash_count = this->crash_count](int*) {
      self->running -= self->crash_count == crash_count ? 1 : 0;
    };
    ++this->running;
    const std::unique_ptr<int, decltype(release)> slot(&this->running, release);
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nRequest-Id: " +
        request_id + "\r\nServer-Stamp: stand-in." + this->id +
        "\r\nInstance-Load: " + std::to_string(this->running) + ",0," +
        std::to_string(kSlots) + "\r\n\r\n";
    bool is_open = co_await WriteText(socket, head);
    asio::steady_timer timer(this->context);
    for (int i = 1; is_open && i <= kEventCount; ++i) {
      timer.expires_after(kEventInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (is_deadly) {
        this->Crash(request_id);
        co_return false;
      }
      const std::string event = "id: " + std::to_string(i) + "\ndata: token " +
                                std::to_string(i) + "\n\n";
      std::ostringstream chunk;
      chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
      is_open = co_await WriteText(socket, chunk.str());
    }
    co_return is_open&& co_await WriteText(socket, "0\r\n\r\n");
  }

  static asio::awaitable<bool> WriteText(Socket& socket, std::string text) {
    const auto [error, size] = co_await asio::async_write(
        socket, asio::buffer(text), asio::as_tuple(asio::use_awaitable));
    co_return !error;
  }

  void Crash(const std::string& request_id) {
    if (!this->is_up) {
      return;
    }
    this->record << UnixMs() << " crashed " << this->id << " " << request_id
                 << std::endl;
    this->is_up = false;
    this->running = 0;
    ++this->crash_count;
    boost::system::error_code ignored;
    std::ignore = this->acceptor.close(ignored);
    for (const auto& socket : std::exchange(this->sockets, {})) {
      std::ignore =
          socket->set_option(asio::socket_base::linger(true, 0), ignored);
      std::ignore = socket->close(ignored);
    }
    this->loaded.clear();
    this->sequence = 0;
    asio::co_spawn(this->context, Return(this->shared_from_this()),
                   asio::detached);
  }

  static asio::awaitable<void> Return(std::shared_ptr<Runner> self) {
    asio::steady_timer timer(self->context, self->settings.down_time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    self->Listen();
    co_await self->Register();
  }

  asio::io_context& context;
  const Settings settings;
  const std::string id;
  const tcp::endpoint endpoint;
  tcp::acceptor acceptor;
  std::ostream& record;
  std::set<std::string> loaded;  ///< "MODEL" and "MODEL/ADAPTER".
  std::set<std::shared_ptr<Socket>> sockets;
  std::uint64_t sequence = 0;
  std::uint64_t beat_count = 0;
  std::int64_t born = 0;
  Clock::time_point busy_until{};
  std::string loading;
  bool is_up = false;
  int running = 0;
  int crash_count = 0;
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const Settings settings{
      .service = options["--service"].asString(),
      .store = options["--store"].asString(),
      .paths = Split(options["--models"].asString(), ','),
      .deadly_part = options["--deadly-part"].isString()
                         ? options["--deadly-part"].asString()
                         : std::string(),
      .down_time = milliseconds(options["--down-ms"].asLong())};
  std::ofstream record(options["--record"].asString(), std::ios::app);
  boost::asio::io_context context(1);
  const long first_port = options["--first-port"].asLong();
  for (int i = 0; i < options["--count"].asLong(); ++i) {
    std::make_shared<Runner>(context, settings, i + 1,
                             static_cast<unsigned short>(first_port + i),
                             record)
        ->Start();
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
}
