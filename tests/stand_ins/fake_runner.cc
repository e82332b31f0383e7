// A fake runner of the platform: executes model orders, reports its state, and
// answers requests with streams or plain responses. It registers itself with
// the fake store.

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_server.h"
#include "links.h"
#include "registry_writer.h"
#include "room.h"
#include "runner_models.h"
#include "runner_settings.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// From a crash for too many rejections until the runner is back.
constexpr milliseconds kDownTime{4000};

/// Between two attempts to write the registry record.
constexpr milliseconds kRegisterInterval{100};

class FakeRunner {
 public:
  FakeRunner(asio::io_context& context, Settings settings)
      : context(context),
        settings(std::move(settings)),
        models(this->settings.models,
               this->settings.load_time,
               this->settings.orders_file),
        room(context,
             static_cast<std::size_t>(this->settings.slots),
             this->settings.waiting < 0
                 ? std::nullopt
                 : std::optional<std::size_t>(this->settings.waiting)),
        started_unix_ms(UnixMs()) {
    this->room.OnCrash([this] { this->Crash(); });
    if (!this->settings.runs_file.empty()) {
      this->runs.open(this->settings.runs_file, std::ios::app);
    }
  }

  /// Writes this runner's record to the registry, again until the store has
  /// accepted it.
  asio::awaitable<void> Register() {
    asio::steady_timer timer(this->context);
    while (!co_await WriteRegistryRecord(this->context, this->settings.store,
                                         this->settings.id,
                                         this->RegistryRecord().dump())) {
      timer.expires_after(kRegisterInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  Links& connections() { return this->links; }

  asio::awaitable<bool> Handle(const Request& request, Socket& socket) {
    const std::string path = PathOf(std::string(request.target()));
    if (path == "/admin/cut" || path == "/admin/brittle") {
      this->Disturb(path, QueryOf(std::string(request.target())));
      co_return co_await this->Write(socket, MakeResponse(200));
    }
    if (path == "/crashes") {
      co_return co_await this->Write(
          socket, MakeResponse(200, std::to_string(this->room.crash_count())));
    }
    if (path == "/admin/leaving") {
      this->is_leaving = true;
      co_return co_await this->Write(socket, MakeResponse(200));
    }
    if (path == "/admin/rest") {
      const std::string target(request.target());
      this->rest_seconds = std::stoi(target.substr(target.find('=') + 1));
      this->rests_until =
          Clock::now() + std::chrono::seconds(this->rest_seconds);
      co_return co_await this->Write(socket, MakeResponse(200));
    }
    if (path == "/report") {
      json report = this->RegistryRecord();
      report["sequence"] = this->models.sequence();
      report["busy"] = this->models.IsBusy();
      co_return co_await this->Write(socket, MakeResponse(200, report.dump()));
    }
    if (path == "/seen") {
      co_return co_await this->Write(
          socket, MakeResponse(200, json(this->executed_requests).dump()));
    }
    if (path == "/turned_away") {
      co_return co_await this->Write(
          socket, MakeResponse(200, json(this->turned_away).dump()));
    }
    if (path == "/admin/crash") {
      std::_Exit(1);
    }
    if (request["Expect-Instance"] != this->settings.id &&
        request.count("Expect-Instance") > 0) {
      co_return co_await this->Reject(socket, 421);
    }
    if (path == "/order") {
      co_return co_await this->Write(socket,
                                     this->ExecuteOrder(request.body()));
    }
    co_return co_await this->ExecuteRequest(request, socket);
  }

 private:
  void Disturb(const std::string& path,
               const std::map<std::string, std::string>& query) {
    const milliseconds duration(std::stoi(query.at("for_ms")));
    if (path == "/admin/brittle") {
      this->room.BecomeBrittle({.rejections_per_s = std::stoul(query.at("n")),
                                .waiting = std::stoul(query.at("waiting")),
                                .from = Clock::now(),
                                .until = Clock::now() + duration});
      return;
    }
    const std::string& how = query.at("how");
    this->links.Cut(query.at("from"),
                    how == "hang"    ? Links::CutKind::kHang
                    : how == "reset" ? Links::CutKind::kReset
                                     : Links::CutKind::kRefuse,
                    duration);
  }

  asio::awaitable<void> DropLater() {
    asio::steady_timer timer(
        this->context, this->settings.load_time + this->settings.drop_after);
    co_await timer.async_wait(asio::use_awaitable);
    co_await this->StartAgain();
  }

  // Goes on as a process that has just started.
  asio::awaitable<void> StartAgain() {
    this->models.Clear();
    this->started_unix_ms = UnixMs();
    co_await this->Register();
  }

  void Crash() {
    std::cout << "crash " << SteadyMs() << std::endl;
    this->links.GoDown(kDownTime);
    asio::co_spawn(
        this->context,
        [this]() -> asio::awaitable<void> {
          co_await this->links.AwaitUp();
          co_await this->StartAgain();
        },
        asio::detached);
  }

  json RegistryRecord() const {
    return {{"service", this->settings.service},
            {"address", this->settings.address},
            {"zone", this->settings.zone},
            {"version", this->settings.software},
            {"slots", this->settings.slots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"born", this->started_unix_ms},
            {"sequence", 1},
            {"models", this->models.Record()},
            {"at_hand",
             {{"in_memory", json::array()}, {"on_disk", this->settings.disk}}}};
  }

  asio::awaitable<bool> Write(Socket& socket, Response response) {
    if (this->is_leaving) {
      response.set("Server-Leaving", "1");
    }
    if (const auto rejections = this->room.announced()) {
      response.set("Server-Brittle", std::to_string(*rejections));
    }
    co_await this->links.Pass(socket);
    co_return co_await stand_ins::Write(socket, std::move(response));
  }

  Response ExecuteOrder(const std::string& body) {
    const std::uint64_t loads = this->models.load_count();
    Response response = this->models.Execute(body);
    if (this->models.load_count() > loads &&
        this->settings.drop_after > milliseconds(0)) {
      asio::co_spawn(this->context, this->DropLater(), asio::detached);
    }
    return response;
  }

  asio::awaitable<bool> Reject(Socket& socket, unsigned status) {
    Response response = MakeResponse(status);
    response.set("Not-Executed", "1");
    response.set("Instance-Id", this->settings.id);
    co_return co_await this->Write(socket, std::move(response));
  }

  asio::awaitable<bool> ExecuteRequest(const Request& request, Socket& socket) {
    const std::string model(request["Model"]);
    if (!model.empty() && !this->models.Has(model)) {
      co_return co_await this->Reject(socket, 421);
    }
    if (Clock::now() < this->rests_until) {
      Response response = MakeResponse(503);
      response.set("Not-Executed", "1");
      response.set("Request-Id", request["Request-Id"]);
      response.set("Retry-After", std::to_string(this->rest_seconds));
      this->turned_away.push_back(std::string(request["Request-Id"]));
      co_return co_await this->Write(socket, std::move(response));
    }
    if (this->models.IsLoading(model)) {
      co_return co_await this->Reject(socket, 503);
    }
    const std::string id(request["Request-Id"]);
    const auto slot = co_await this->room.Enter();
    if (!slot) {
      co_return co_await this->TurnAway(socket, id);
    }
    this->executed_requests.push_back(id);
    if (this->runs.is_open()) {
      this->runs << SteadyMs() << " " << id << std::endl;
    }
    if (model.empty()) {
      asio::steady_timer timer(socket.get_executor(), this->settings.work_time);
      co_await timer.async_wait(asio::use_awaitable);
      Response response = MakeResponse(
          200,
          json{{"ran", id}, {"tenant", std::string(request["Tenant"])}}.dump());
      this->SetCommonHeaders(response, id);
      co_return co_await this->Write(socket, std::move(response));
    }
    co_return co_await this->WriteStream(request, id, socket);
  }

  asio::awaitable<bool> TurnAway(Socket& socket, const std::string& id) {
    Response response = MakeResponse(503);
    this->SetCommonHeaders(response, id);
    response.set("Not-Executed", "1");
    co_return co_await this->Write(socket, std::move(response));
  }

  void SetCommonHeaders(Response& response, const std::string& id) const {
    response.set("Request-Id", id);
    response.set("Server-Stamp", "stand-in." + this->settings.id);
    response.set("Keep-Alive", "timeout=5");
    response.set("Instance-Load", this->room.Load());
  }

  // The number of events of a stream, from "PROMPT,OUTPUT" tokens.
  long EventCount(const Request& request) const {
    constexpr long kDefault = 8;
    const std::string counts(request["Token-Counts"]);
    const std::size_t comma = counts.find(',');
    if (this->settings.event_tokens == 0 || comma == std::string::npos) {
      return kDefault;
    }
    return std::max(
        1L, std::stol(counts.substr(comma + 1)) / this->settings.event_tokens);
  }

  asio::awaitable<bool> WriteStream(const Request& request,
                                    std::string id,
                                    Socket& socket) {
    const long event_count = this->EventCount(request);
    // A resumed stream goes on after the last event that was delivered.
    const std::string last(request["Last-Event-Id"]);
    const long first = last.empty() ? 1 : std::stol(last) + 1;
    const bool is_chunked = !this->settings.is_until_close;
    const std::string head =
        std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n") +
        (is_chunked ? "Transfer-Encoding: chunked" : "Connection: close") +
        "\r\nRequest-Id: " + id + "\r\nServer-Stamp: stand-in." +
        this->settings.id + (this->is_leaving ? "\r\nServer-Leaving: 1" : "") +
        "\r\n\r\n";
    const auto write = [&](std::string text) -> asio::awaitable<bool> {
      co_await this->links.Pass(socket);
      const auto [error, size] = co_await asio::async_write(
          socket, asio::buffer(text), asio::as_tuple(asio::use_awaitable));
      co_return !error;
    };
    bool is_open = co_await write(head);
    for (long i = first; is_open && i <= event_count; ++i) {
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) +
          " " + this->settings.software +
          (i == event_count ? "\n\ndata: [DONE]" : "") + "\n\n";
      std::ostringstream chunk;
      chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
      std::string bytes = is_chunked ? chunk.str() : event;
      is_open = co_await write(std::move(bytes));
      asio::steady_timer timer(socket.get_executor(),
                               this->settings.event_interval);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (is_open && is_chunked) {
      is_open = co_await write("0\r\n\r\n");
    }
    co_return is_open&& is_chunked;
  }

  asio::io_context& context;
  const Settings settings;
  RunnerModels models;
  Links links;
  Room room;
  std::int64_t started_unix_ms;
  std::vector<std::string> executed_requests;  ///< Their ids.
  std::vector<std::string> turned_away;
  std::ofstream runs;
  bool is_leaving = false;
  int rest_seconds = 0;
  Clock::time_point rests_until{};
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kRunnerUsage, {argv + 1, argv + argc}, true);
  const Settings settings = ReadSettings(options);
  boost::asio::io_context context(1);
  const auto runner = std::make_shared<FakeRunner>(context, settings);
  boost::asio::co_spawn(context, runner->Register(), boost::asio::detached);
  context.run();
  context.restart();
  Serve(
      context, settings.address,
      // Connections keep the runner until they have ended.
      [runner](const Request& request, Socket& socket) {
        return runner->Handle(request, socket);
      },
      runner->connections());
}
