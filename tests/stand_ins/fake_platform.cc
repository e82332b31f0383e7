// A fake of the platform's interface for the lease holder's duties: usage
// reports and orders of target counts, with a check of the platform's rules.
// Faults are injected by a request.

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "http_server.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kUsage[] = R"(A fake platform for duties.

Usage: fake_platform --listen ADDRESS

Options:
  --listen ADDRESS  Address to listen on, "IP:port".

In addition to POST /usage and POST /scale:
  GET /state                       all reports, calls and violations of rules
  POST /admin/fault?kind=K&for_ms=N   injects a fault for N ms; K: busy (answers
                                   429), silent (accepts without an answer)
)";

/// Calls of two holders are this far apart.
constexpr milliseconds kHandoverDelay(3000);

class FakePlatform {
 public:
  asio::awaitable<bool> Handle(const Request& request, Socket& socket) {
    const std::string target(request.target());
    const std::string path = PathOf(target);
    if (path == "/state") {
      co_return co_await Write(socket, MakeResponse(200, this->State()));
    }
    if (path == "/admin/fault") {
      const auto query = QueryOf(target);
      this->faults[query.at("kind")] =
          Clock::now() + milliseconds(std::stoi(query.at("for_ms")));
      co_return co_await Write(socket, MakeResponse(200));
    }
    if (path != "/usage" && path != "/scale") {
      co_return co_await Write(socket, MakeResponse(404));
    }
    if (this->HasFault("busy")) {
      co_return co_await Write(socket, MakeResponse(429));
    }
    const unsigned status = this->Execute(path, request);
    if (this->HasFault("silent")) {
      asio::steady_timer forever(socket.get_executor(),
                                 Clock::time_point::max());
      co_await forever.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return co_await Write(socket, MakeResponse(status));
  }

 private:
  bool HasFault(const std::string& kind) const {
    const auto found = this->faults.find(kind);
    return found != this->faults.end() && Clock::now() < found->second;
  }

  unsigned Execute(const std::string& path, const Request& request) {
    const std::string holder(request["Duty-Holder"]);
    const std::string token_text(request["Fencing-Token"]);
    const json body = json::parse(request.body(), nullptr, false);
    if (holder.empty() || token_text.empty() || !body.is_object()) {
      this->violations.push_back("malformed call");
      return 400;
    }
    this->CheckCall(holder, std::stoull(token_text));
    return path == "/usage" ? this->ReportUsage(body) : this->Scale(body);
  }

  void CheckCall(const std::string& holder, std::uint64_t token) {
    const auto now = Clock::now();
    ++this->calls[holder];
    if (token < this->highest_token) {
      this->violations.push_back("token " + std::to_string(token) + " after " +
                                 std::to_string(this->highest_token));
    }
    if (!this->last_holder.empty() && holder != this->last_holder &&
        now - this->last_call_at < kHandoverDelay) {
      this->violations.push_back("calls of " + this->last_holder + " and " +
                                 holder + " too close to each other");
    }
    this->highest_token = std::max(this->highest_token, token);
    this->last_holder = holder;
    this->last_call_at = now;
  }

  unsigned ReportUsage(const json& body) {
    if (!body.contains("window_index") || !body.contains("counts")) {
      this->violations.push_back("malformed usage report");
      return 400;
    }
    const auto window = body["window_index"].get<std::uint64_t>();
    const auto [entry, is_new] =
        this->reports.try_emplace(window, body["counts"]);
    this->duplicates += is_new ? 0 : 1;
    if (entry->second != body["counts"]) {
      this->violations.push_back("two contents of window " +
                                 std::to_string(window));
    }
    return 200;
  }

  unsigned Scale(const json& body) {
    if (!body.contains("service") || !body.contains("zone") ||
        !body.contains("desired_count")) {
      this->violations.push_back("malformed order of a target count");
      return 400;
    }
    this->target_counts[body["service"].get<std::string>() + "/" +
                        body["zone"].get<std::string>()] =
        body["desired_count"];
    return 200;
  }

  std::string State() const {
    json windows = json::object();
    for (const auto& [window, counts] : this->reports) {
      windows[std::to_string(window)] = counts;
    }
    return json{{"windows", windows},
                {"target_counts", this->target_counts},
                {"calls", this->calls},
                {"duplicates", this->duplicates},
                {"violations", this->violations}}
        .dump();
  }

  std::map<std::uint64_t, json> reports;
  std::map<std::string, json> target_counts;
  std::map<std::string, std::uint64_t> calls;  ///< By holder.
  std::uint64_t duplicates = 0;
  json violations = json::array();
  std::map<std::string, Clock::time_point> faults;
  std::uint64_t highest_token = 0;
  std::string last_holder;
  Clock::time_point last_call_at;
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context(1);
  FakePlatform platform;
  Serve(context, options["--listen"].asString(),
        [&platform](const Request& request, Socket& socket) {
          return platform.Handle(request, socket);
        });
}
