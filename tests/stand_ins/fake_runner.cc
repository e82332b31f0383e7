// A fake runner of the platform: executes model orders, reports its state, and
// answers requests with streams or plain responses. It registers itself with
// the fake store.

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http_server.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kUsage[] = R"(A fake runner.

Usage:
  fake_runner --listen ADDRESS --id ID --service NAME --zone NAME --store ADDRESS
              [--models NAMES] [--disk NAMES] [--load-ms N] [--event-ms N]
              [--work-ms N] [--slots N] [--event-tokens N]
              [--runs FILE] [--until-close] [--software VERSION]
              [--drop-after-ms N] [--orders FILE]

Options:
  --listen ADDRESS  Address to listen on, "IP:port".
  --id ID         Its name in the registry.
  --service NAME  The service that it belongs to.
  --zone NAME     Its data centre.
  --store ADDRESS Address of the fake store.
  --models NAMES  Models loaded at the start, separated by commas [default: ].
  --disk NAMES    Models on the disk, separated by commas [default: ].
  --load-ms N     Duration of a load in ms [default: 400].
  --event-ms N    Interval between two events of a stream in ms [default: 20].
  --work-ms N     Time until a plain response in ms [default: 0].
  --slots N       Number of slots that it registers [default: 8].
  --event-tokens N  Tokens of Token-Counts per event of a stream; 0: a stream
                  has 8 events [default: 0].
  --runs FILE     Appends the time of the steady clock in ms and the id of each
                  request that it executes; kept when the process ends.
  --until-close   The end of the connection marks the end of a stream.
  --software VERSION  Version of its software, which is in the registry and in
                  each event of a stream [default: v1].
  --drop-after-ms N  N ms after the load of a model is complete it goes on as a
                  process that has just started, without models, so that orders
                  never end; 0: models stay loaded [default: 0].
  --orders FILE   Appends a JSON line for each order: the time of the steady
                  clock in ms, its fields, and the status of the response.

  GET /seen           returns the ids of all requests that were executed
  GET /turned_away    returns those that were turned away during a rest
  POST /admin/crash   ends the process immediately
  POST /admin/leaving says in every response that the runner leaves
  POST /admin/rest?seconds=N
                      turns requests away with 503 and Retry-After for N seconds
)";

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  if (!text.empty()) {
    boost::split(parts, text, boost::is_any_of(","));
  }
  return parts;
}

struct Settings {
  std::string address;
  std::string id;
  std::string service;
  std::string zone;
  std::string store;
  milliseconds load_time{};
  milliseconds event_interval{};
  milliseconds work_time{};
  long slots = 0;
  long event_tokens = 0;
  std::string runs_file;
  bool is_until_close = false;
  std::string software;
  milliseconds drop_after{};
  std::string orders_file;
};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

long NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

/// Between two attempts to write the registry record.
constexpr milliseconds kRegisterInterval{100};

class FakeRunner {
 public:
  FakeRunner(asio::io_context& context,
             Settings settings,
             std::vector<std::string> models,
             std::vector<std::string> disk)
      : context(context),
        settings(std::move(settings)),
        loaded(models.begin(), models.end()),
        disk(disk.begin(), disk.end()),
        started_unix_ms(UnixMs()) {
    if (!this->settings.runs_file.empty()) {
      this->runs.open(this->settings.runs_file, std::ios::app);
    }
    if (!this->settings.orders_file.empty()) {
      this->orders.open(this->settings.orders_file, std::ios::app);
    }
  }

  /// Writes this runner's record to the registry, again until the store has
  /// accepted it.
  asio::awaitable<void> Register() {
    asio::steady_timer timer(this->context);
    while (!co_await this->WriteRecord()) {
      timer.expires_after(kRegisterInterval);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<bool> Handle(const Request& request, Socket& socket) {
    const std::string path = PathOf(std::string(request.target()));
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
      report["sequence"] = this->sequence;
      report["busy"] = this->IsBusy();
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
  asio::awaitable<bool> WriteRecord() {
    constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
    const std::string& store = this->settings.store;
    const std::size_t colon = store.rfind(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(store.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(store.substr(colon + 1))));
    Socket socket(this->context);
    const auto [connect_error] =
        co_await socket.async_connect(endpoint, kAsTuple);
    if (connect_error) {
      co_return false;
    }
    Request request(http::verb::post,
                    "/admin/put?topic=keyed.servers&key=" + this->settings.id,
                    11);
    request.set(http::field::host, store);
    request.body() = this->RegistryRecord().dump();
    request.prepare_payload();
    const auto [write_error, written] =
        co_await http::async_write(socket, request, kAsTuple);
    boost::beast::flat_buffer buffer;
    Response response;
    const auto [read_error, read] =
        co_await http::async_read(socket, buffer, response, kAsTuple);
    co_return !write_error && !read_error &&
        response.result() == http::status::ok;
  }

  asio::awaitable<void> DropLater() {
    asio::steady_timer timer(
        this->context, this->settings.load_time + this->settings.drop_after);
    co_await timer.async_wait(asio::use_awaitable);
    this->loaded.clear();
    this->loading.clear();
    this->sequence = 0;
    this->started_unix_ms = UnixMs();
    co_await this->Register();
  }

  void Unload(const std::string& path) {
    std::erase_if(this->loaded, [&](const std::string& item) {
      return item == path || item.starts_with(path + "/");
    });
  }

  json RegistryRecord() const {
    std::map<std::string, json> models;
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
    json list = json::array();
    for (const auto& [name, model] : models) {
      list.push_back(model);
    }
    return {
        {"service", this->settings.service},
        {"address", this->settings.address},
        {"zone", this->settings.zone},
        {"version", this->settings.software},
        {"slots", this->settings.slots},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"born", this->started_unix_ms},
        {"sequence", 1},
        {"models", list},
        {"at_hand", {{"in_memory", json::array()}, {"on_disk", this->disk}}}};
  }

  asio::awaitable<bool> Write(Socket& socket, Response response) {
    if (this->is_leaving) {
      response.set("Server-Leaving", "1");
    }
    co_return co_await stand_ins::Write(socket, std::move(response));
  }

  bool IsBusy() const { return Clock::now() < this->busy_until; }

  Response ExecuteOrder(const std::string& body) {
    const json order = json::parse(body, nullptr, false);
    Response response = this->ExecuteOrder(order);
    if (this->orders.is_open()) {
      json line = order.is_object() ? order : json::object();
      line["at_ms"] = NowMs();
      line["status"] = response.result_int();
      this->orders << line.dump() << std::endl;
    }
    return response;
  }

  Response ExecuteOrder(const json& order) {
    if (!order.is_object() || !order.contains("holder") ||
        !order.contains("fencing_token")) {
      return MakeResponse(400);
    }
    const bool has_conflict =
        this->IsBusy() ||
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
      this->Unload(path);
      return MakeResponse(adapter.empty() ? 202 : 200);
    }
    this->loaded.insert(path);
    if (adapter.empty()) {
      this->busy_until = Clock::now() + this->settings.load_time;
      this->loading = path;
      if (this->settings.drop_after > milliseconds(0)) {
        asio::co_spawn(this->context, this->DropLater(), asio::detached);
      }
    }
    return MakeResponse(202);
  }

  asio::awaitable<bool> Reject(Socket& socket, unsigned status) {
    Response response = MakeResponse(status);
    response.set("Not-Executed", "1");
    response.set("Instance-Id", this->settings.id);
    co_return co_await this->Write(socket, std::move(response));
  }

  asio::awaitable<bool> ExecuteRequest(const Request& request, Socket& socket) {
    const std::string model(request["Model"]);
    if (!model.empty() && !this->loaded.contains(model)) {
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
    if (this->IsBusy() && model == this->loading) {
      co_return co_await this->Reject(socket, 503);
    }
    const std::string id(request["Request-Id"]);
    this->executed_requests.push_back(id);
    if (this->runs.is_open()) {
      this->runs << NowMs() << " " << id << std::endl;
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

  void SetCommonHeaders(Response& response, const std::string& id) const {
    response.set("Request-Id", id);
    response.set("Server-Stamp", "stand-in." + this->settings.id);
    response.set("Keep-Alive", "timeout=5");
    response.set("Instance-Load", "1,0,8");
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
  std::set<std::string> loaded;  ///< "MODEL" and "MODEL/ADAPTER".
  const std::set<std::string> disk;
  std::int64_t started_unix_ms;
  std::uint64_t sequence = 0;  ///< Number of orders that changed the state.
  Clock::time_point busy_until{};
  std::string loading;
  std::vector<std::string> executed_requests;  ///< Their ids.
  std::vector<std::string> turned_away;
  std::ofstream runs;
  std::ofstream orders;
  bool is_leaving = false;
  int rest_seconds = 0;
  Clock::time_point rests_until{};
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const Settings settings{
      .address = options["--listen"].asString(),
      .id = options["--id"].asString(),
      .service = options["--service"].asString(),
      .zone = options["--zone"].asString(),
      .store = options["--store"].asString(),
      .load_time = milliseconds(options["--load-ms"].asLong()),
      .event_interval = milliseconds(options["--event-ms"].asLong()),
      .work_time = milliseconds(options["--work-ms"].asLong()),
      .slots = options["--slots"].asLong(),
      .event_tokens = options["--event-tokens"].asLong(),
      .runs_file = options["--runs"].isString() ? options["--runs"].asString()
                                                : std::string(),
      .is_until_close = options["--until-close"].asBool(),
      .software = options["--software"].asString(),
      .drop_after = milliseconds(options["--drop-after-ms"].asLong()),
      .orders_file = options["--orders"].isString()
                         ? options["--orders"].asString()
                         : std::string()};
  boost::asio::io_context context(1);
  FakeRunner runner(context, settings, Split(options["--models"].asString()),
                    Split(options["--disk"].asString()));
  boost::asio::co_spawn(context, runner.Register(), boost::asio::detached);
  context.run();
  context.restart();
  Serve(context, settings.address,
        [&runner](const Request& request, Socket& socket) {
          return runner.Handle(request, socket);
        });
}
