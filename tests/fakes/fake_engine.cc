// Stand-in for a model engine. See docs/PROTOCOLS.md.

#include <docopt/docopt.h>

#include <list>

#include "fakes/fake_http.h"

namespace cicadaloft::fakes {
namespace {

constexpr char kUsage[] = R"(Stand-in for a model engine.

Usage:
  fake_engine [options]

Options:
  --listen ADDRESS      IP:port; port 0 lets the kernel choose
                        [default: 127.0.0.1:0].
  --store ADDRESS       IP:port of the stand-in platform with the weight store.
  --memory-mib N        Accelerator memory [default: 1000].
  --max-concurrency N   Requests at once [default: 8].
  --model-load-ms N     Time to fetch a model at full speed [default: 300].
  --adapter-load-ms N   Time to fetch an adapter at full speed [default: 7].
  --token-ms N          Time for each token [default: 5].
)";

constexpr int kDefaultTokens = 16;

struct LoadedModel {
  bool loaded = false;
  std::uint64_t memory_mib = 0;
};

class Engine {
 public:
  explicit Engine(std::map<std::string, docopt::value> arguments)
      : arguments(std::move(arguments)) {}

  asio::awaitable<void> operator()(Exchange& exchange) {
    const std::string path = exchange.Path();
    if (path == "/v1/chat/completions") {
      co_await this->Complete(exchange);
    } else if (path == "/admin/orders") {
      co_await this->CarryOut(exchange);
    } else if (path == "/report") {
      co_await this->Report(exchange);
    } else if (path == "/seen") {
      co_await exchange.Answer(
          200, Object("requests", this->requests, "orders", this->orders));
    } else if (path == "/admin/faults") {
      this->faults.update(exchange.Body());
      co_await exchange.Answer(204, nullptr);
    } else {
      co_await exchange.Answer(404, Object("error", "not_found"));
    }
  }

 private:
  std::int64_t Argument(const std::string& name) {
    return this->arguments[name].asLong();
  }

  // Orders.

  asio::awaitable<void> CarryOut(Exchange& exchange) {
    const Json order = exchange.Body();
    this->orders.push_back(order);
    const std::uint64_t token = order.value("token", std::uint64_t{0});
    if (order.value("instance", std::uint64_t{0}) != this->instance) {
      co_await exchange.Answer(409, Object("error", "other_instance"));
      co_return;
    }
    if (!this->Fault("ignore_fencing") && token < this->highest_token) {
      co_await exchange.Answer(409, Object("error", "stale_token"));
      co_return;
    }
    this->highest_token = std::max(this->highest_token, token);
    if (order.value("action", "") == "load") {
      co_await this->Load(exchange, order);
    } else {
      this->models.erase(order.value("model", ""));
      co_await this->AnswerOrder(exchange, "unloaded");
    }
  }

  asio::awaitable<void> Load(Exchange& exchange, const Json& order) {
    const std::string model = order.value("model", "");
    const auto memory_mib = order.value("memory_mib", std::uint64_t{0});
    const auto capacity =
        static_cast<std::uint64_t>(this->Argument("--memory-mib"));
    if (!this->models.contains(model) &&
        this->UsedMib() + memory_mib > capacity) {
      co_await exchange.Answer(507, Object("error", "no_memory"));
      co_return;
    }
    this->models.try_emplace(model, LoadedModel{.memory_mib = memory_mib});
    const std::uint64_t started_in = this->instance;
    const bool is_adapter = order.contains("base") && order["base"].is_string();
    co_await this->FetchWeights(model, is_adapter);
    if (started_in != this->instance) {
      exchange.Abort();
      co_return;
    }
    this->models[model].loaded = true;
    this->checkpoints[model] = "memory";
    co_await this->AnswerOrder(exchange, "loaded");
  }

  asio::awaitable<void> FetchWeights(std::string model, bool is_adapter) {
    std::int64_t time_ms =
        this->Argument(is_adapter ? "--adapter-load-ms" : "--model-load-ms");
    if (this->checkpoints.contains(model)) {
      constexpr std::int64_t kNearSpeedup = 4;
      co_await Sleep(std::chrono::milliseconds(time_ms / kNearSpeedup));
      co_return;
    }
    if (!this->arguments["--store"]) {
      co_await Sleep(std::chrono::milliseconds(time_ms));
      co_return;
    }
    co_await Fetch(this->arguments["--store"].asString(),
                   "/store/fetch?ms=" + std::to_string(time_ms) +
                       "&adapter=" + (is_adapter ? "1" : "0"));
  }

  asio::awaitable<void> AnswerOrder(Exchange& exchange, std::string state) {
    if (this->TakeFault("lose_order_answers")) {
      exchange.Abort();
      co_return;
    }
    co_await exchange.Answer(200, Object("state", state));
  }

  // Reports, with a lag.

  asio::awaitable<void> Report(Exchange& exchange) {
    const auto now = std::chrono::steady_clock::now();
    const auto lag =
        std::chrono::milliseconds(this->faults.value("report_lag_ms", 100));
    this->reports.emplace_back(now, this->ReportNow());
    while (this->reports.size() > 1 &&
           std::next(this->reports.begin())->first <= now - lag) {
      this->reports.pop_front();
    }
    co_await exchange.Answer(200, this->reports.front().second);
  }

  Json ReportNow() const {
    Json loaded = Json::array();
    std::ranges::for_each(this->models, [&](const auto& model) {
      loaded.push_back(
          Object("model", model.first, "loaded", model.second.loaded));
    });
    Json cached = Json::array();
    std::ranges::for_each(this->checkpoints, [&](const auto& checkpoint) {
      cached.push_back(
          Object("model", checkpoint.first, "tier", checkpoint.second));
    });
    return Object("instance", this->instance, "running", this->running,
                  "queued", 0, "used_mib", this->UsedMib(), "models",
                  std::move(loaded), "checkpoints", cached);
  }

  std::uint64_t UsedMib() const {
    std::uint64_t sum = 0;
    std::ranges::for_each(this->models, [&](const auto& model) {
      sum += model.second.memory_mib;
    });
    return sum;
  }

  // Requests.

  asio::awaitable<void> Complete(Exchange& exchange) {
    const Json body = exchange.Body();
    const std::string model =
        body.is_object() ? body.value("model", "") : std::string();
    this->requests.push_back(Object("id", exchange.Header("X-Request-Id"),
                                    "headers", exchange.Headers(), "model",
                                    model));
    const std::string marker = this->faults.value("crash_marker", "");
    if (!marker.empty() &&
        exchange.request().body().find(marker) != std::string::npos) {
      this->Crash();
      exchange.Abort();
      co_return;
    }
    const auto found = this->models.find(model);
    if (found == this->models.end() || !found->second.loaded) {
      co_await exchange.Answer(404, Object("error", "model_not_loaded"));
      co_return;
    }
    if (this->running >= this->Argument("--max-concurrency")) {
      co_await exchange.Answer(429, Object("error", "overloaded"));
      co_return;
    }
    ++this->running;
    const bool is_stream = body.value("stream", false);
    const int tokens =
        std::clamp(body.value("max_tokens", kDefaultTokens), 1, 100000);
    try {
      co_await this->Generate(exchange, model, tokens, is_stream);
    } catch (const std::exception&) {
      exchange.Abort();
    }
    --this->running;
  }

  asio::awaitable<void> Generate(Exchange& exchange,
                                 std::string model,
                                 int tokens,
                                 bool is_stream) {
    const std::uint64_t started_in = this->instance;
    const bool truncate = this->TakeFault("truncate_next");
    co_await Sleep(std::chrono::milliseconds(this->faults.value("late_ms", 0)));
    if (is_stream) {
      co_await exchange.Write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n");
    }
    std::string text;
    const auto token_time = std::chrono::milliseconds(
        this->Argument("--token-ms") + this->faults.value("slow_ms", 0));
    for (int i = 0; i < tokens; ++i) {
      co_await Sleep(token_time);
      if (started_in != this->instance || (truncate && i > tokens / 2)) {
        exchange.Abort();
        co_return;
      }
      const std::string token = "t" + std::to_string(i) + " ";
      text += token;
      if (is_stream) {
        co_await exchange.WriteChunk(
            "data: " + this->Delta(model, token).dump() + "\n\n");
      }
    }
    if (is_stream) {
      co_await exchange.WriteChunk("data: [DONE]\n\n");
      co_await exchange.Write("0\r\n\r\n");
    } else {
      co_await exchange.Answer(200, this->Whole(model, text, tokens));
    }
  }

  Json Delta(const std::string& model, const std::string& token) const {
    return Json{{"object", "chat.completion.chunk"},
                {"model", model},
                {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
  }

  Json Whole(const std::string& model,
             const std::string& text,
             int tokens) const {
    return Json{{"object", "chat.completion"},
                {"model", model},
                {"choices",
                 {{{"index", 0},
                   {"message", {{"role", "assistant"}, {"content", text}}}}}},
                {"usage", {{"completion_tokens", tokens}}}};
  }

  // Faults.

  void Crash() {
    ++this->instance;
    this->models.clear();
    this->checkpoints.clear();
    this->highest_token = 0;
  }

  bool Fault(const std::string& name) const {
    return this->faults.value(name, false);
  }

  /// Uses up one of a counted fault.
  bool TakeFault(const std::string& name) {
    const int left = this->faults.value(name, 0);
    if (left > 0) {
      this->faults[name] = left - 1;
    }
    return left > 0;
  }

  std::map<std::string, docopt::value> arguments;
  Json faults = Json::object();
  Json requests = Json::array();
  Json orders = Json::array();
  std::map<std::string, LoadedModel> models;
  std::map<std::string, std::string> checkpoints;
  std::list<std::pair<std::chrono::steady_clock::time_point, Json>> reports;
  std::uint64_t instance = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  std::uint64_t highest_token = 0;
  int running = 0;
};

}  // namespace
}  // namespace cicadaloft::fakes

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(cicadaloft::fakes::kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context;
  cicadaloft::fakes::Engine engine(arguments);
  cicadaloft::fakes::Serve(context, arguments.at("--listen").asString(),
                           engine);
}
