// A runner of the platform without models. It works on as many requests as it
// has slots, lets a few more wait, turns the others away, and records each run.
// A faulty one spoils a single answer: it writes an earlier answer once more on
// the same connection, without the line that names the request, where the
// answer to the next request is due. It runs that request and answers it too.

#include <docopt/docopt.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <utility>

#include "../../tests/stand_ins/http_server.h"
#include "registry.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kUsage[] = R"(A runner that may write one answer twice.

Usage:
  repeating_runner --listen ADDRESS --id ID --service NAME --store ADDRESS
                   --record FILE [--repeat KIND]

Options:
  --listen ADDRESS  Address to listen on, "IP:port".
  --id ID           Its name in the registry.
  --service NAME    The service that it belongs to.
  --store ADDRESS   Address of the platform's store.
  --record FILE     Appends a line for each request that it runs.
  --repeat KIND     Once, after 100 runs, writes the last answer on a connection
                    again if it was of this kind: refusal or success.
)";

constexpr milliseconds kWorkTime(60);
constexpr milliseconds kIdleTimeout(5000);
constexpr int kSlots = 6;
constexpr int kMaxWaiting = 2;
constexpr int kRunsBeforeFault = 100;

struct Settings {
  std::string address;
  std::string id;
  std::string service;
  std::string store;
  std::string repeated_kind;
};

class RepeatingRunner {
 public:
  RepeatingRunner(asio::io_context& context,
                  Settings settings,
                  std::ostream& record)
      : context(context),
        settings(std::move(settings)),
        record(record),
        born(UnixMs()) {}

  asio::awaitable<void> Beat() {
    asio::steady_timer timer(this->context);
    while (true) {
      ++this->beat_count;
      co_await WriteEntry(this->context, this->settings.store,
                          this->settings.id, this->Entry().dump());
      timer.expires_after(kHeartbeat);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> Accept() {
    asio::ip::tcp::acceptor acceptor(this->context,
                                     ParseAddress(this->settings.address));
    while (true) {
      Socket socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(this->context, this->Converse(std::move(socket)),
                     asio::detached);
    }
  }

 private:
  struct LastAnswer {
    Response response;  ///< Without the line that names the request.
    std::string kind;
  };

  asio::awaitable<void> Converse(Socket socket) {
    boost::beast::flat_buffer buffer;
    std::optional<LastAnswer> last;
    bool is_open = true;
    while (is_open) {
      http::request_parser<http::string_body> parser;
      if (!co_await ReadRequest(socket, buffer, parser, kIdleTimeout)) {
        co_return;
      }
      is_open = co_await this->Answer(parser.release(), socket, last);
    }
  }

  asio::awaitable<bool> Answer(Request request,
                               Socket& socket,
                               std::optional<LastAnswer>& last) {
    const std::string request_id(request["Request-Id"]);
    if (request["Expect-Instance"] != this->settings.id) {
      Response refusal = MakeResponse(421);
      refusal.set("Not-Executed", "1");
      refusal.set("Instance-Id", this->settings.id);
      refusal.set("Request-Id", request_id);
      co_return co_await Write(socket, std::move(refusal));
    }
    if (this->running + this->waiting >= kSlots + kMaxWaiting) {
      Response refusal = MakeResponse(503);
      refusal.set("Not-Executed", "1");
      this->SetCommonFields(refusal);
      last = LastAnswer{.response = refusal, .kind = "refusal"};
      refusal.set("Request-Id", request_id);
      co_return co_await Write(socket, std::move(refusal));
    }
    co_await this->WaitForSlot();
    ++this->running;
    ++this->run_count;
    this->record << UnixMs() << " ran " << this->settings.id << " "
                 << request_id << std::endl;
    const bool is_spoiled = !this->has_repeated && last &&
                            this->run_count > kRunsBeforeFault &&
                            last->kind == this->settings.repeated_kind;
    if (is_spoiled) {
      this->has_repeated = true;
      this->record << UnixMs() << " repeated " << this->settings.id << " "
                   << request_id << std::endl;
      co_await Write(socket, last->response);
    }
    asio::steady_timer timer(this->context, kWorkTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    --this->running;
    Response response = MakeResponse(200, json{{"ran", request_id}}.dump());
    response.set("Server-Stamp", "stand-in." + this->settings.id);
    this->SetCommonFields(response);
    last = LastAnswer{.response = response, .kind = "success"};
    response.set("Request-Id", request_id);
    co_return co_await Write(socket, std::move(response));
  }

  asio::awaitable<void> WaitForSlot() {
    ++this->waiting;
    asio::steady_timer timer(this->context);
    while (this->running >= kSlots) {
      timer.expires_after(milliseconds(1));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    --this->waiting;
  }

  void SetCommonFields(Response& response) const {
    response.set("Keep-Alive", "timeout=5");
    response.set("Instance-Load", std::to_string(this->running) + "," +
                                      std::to_string(this->waiting) + "," +
                                      std::to_string(kSlots));
  }

  json Entry() const {
    return {{"service", this->settings.service},
            {"address", this->settings.address},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", kSlots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"born", this->born},
            {"sequence", this->beat_count}};
  }

  asio::io_context& context;
  const Settings settings;
  std::ostream& record;
  const std::int64_t born;
  std::uint64_t beat_count = 0;
  int running = 0;
  int waiting = 0;
  int run_count = 0;
  bool has_repeated = false;
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  std::ofstream record(options["--record"].asString(), std::ios::app);
  boost::asio::io_context context(1);
  RepeatingRunner runner(
      context,
      Settings{.address = options["--listen"].asString(),
               .id = options["--id"].asString(),
               .service = options["--service"].asString(),
               .store = options["--store"].asString(),
               .repeated_kind = options["--repeat"].isString()
                                    ? options["--repeat"].asString()
                                    : std::string()},
      record);
  boost::asio::co_spawn(context, runner.Beat(), boost::asio::detached);
  boost::asio::co_spawn(context, runner.Accept(), boost::asio::detached);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, auto) { context.stop(); });
  context.run();
}
