// Stand-in for the platform: append-only log, host list and weight store. See
// docs/PROTOCOLS.md.

#include <docopt/docopt.h>

#include <deque>
#include <set>

#include "fakes/fake_http.h"

namespace cicadaloft::fakes {
namespace {

constexpr char kUsage[] = R"(Stand-in for the platform.

Usage:
  fake_platform [--listen ADDRESS]

Options:
  --listen ADDRESS  IP:port; port 0 lets the kernel choose
                    [default: 127.0.0.1:0].
)";

/// Loads from the weight store at once at full speed.
constexpr double kStoreConcurrency = 4;
constexpr double kAdapterConcurrency = 30;

class Platform {
 public:
  explicit Platform(asio::io_context& context) : context(context) {}

  asio::awaitable<void> operator()(Exchange& exchange) {
    const std::string path = exchange.Path();
    const bool is_admin = path.starts_with("/admin/");
    if (!is_admin && this->slow_ms > 0) {
      co_await Sleep(std::chrono::milliseconds(this->slow_ms));
    }
    if (!is_admin && this->outage) {
      exchange.Abort();
    } else if (path == "/log/append") {
      co_await this->Append(exchange);
    } else if (path == "/log/read") {
      co_await this->Read(exchange);
    } else if (path == "/hosts") {
      co_await exchange.Answer(200, Object("hosts", this->hosts));
    } else if (path == "/admin/hosts") {
      this->hosts = exchange.Body().value("hosts", Json::array());
      co_await exchange.Answer(204, nullptr);
    } else if (path == "/admin/faults") {
      this->SetFaults(exchange.Body());
      co_await exchange.Answer(204, nullptr);
    } else if (path == "/store/fetch") {
      co_await this->FetchWeights(exchange);
    } else {
      co_await exchange.Answer(404, Object("error", "not_found"));
    }
  }

 private:
  asio::awaitable<void> Append(Exchange& exchange) {
    const Json body = exchange.Body();
    if (!body.is_object() || !body.contains("records") ||
        !body["records"].is_array()) {
      co_await exchange.Answer(400, Object("error", "expected records"));
      co_return;
    }
    const std::uint64_t first = this->Next();
    std::ranges::copy(body["records"], std::back_inserter(this->records));
    while (this->records.size() > this->keep_records) {
      this->records.pop_front();
      ++this->first_kept;
    }
    std::ranges::for_each(this->readers, [](auto* timer) { timer->cancel(); });
    if (this->lose_append_answers > 0) {
      --this->lose_append_answers;
      exchange.Abort();
      co_return;
    }
    co_await exchange.Answer(200, Object("first", first, "next", this->Next()));
  }

  asio::awaitable<void> Read(Exchange& exchange) {
    constexpr std::uint64_t kMaxRecords = 1000;
    const std::uint64_t from = exchange.QueryNumber("from", 0);
    const std::uint64_t max =
        std::min(exchange.QueryNumber("max", kMaxRecords), kMaxRecords);
    if (from >= this->Next()) {
      co_await this->WaitForRecords(exchange.QueryNumber("wait_ms", 0));
    }
    if (this->outage) {
      exchange.Abort();
      co_return;
    }
    Json found = Json::array();
    const std::uint64_t begin = std::max(from, this->first_kept);
    for (std::uint64_t at = begin; at < std::min(this->Next(), begin + max);
         ++at) {
      found.push_back(
          Object("offset", at, "record", this->records[at - this->first_kept]));
    }
    co_await exchange.Answer(
        200, Object("first_kept", this->first_kept, "next", this->Next(),
                    "records", std::move(found)));
  }

  asio::awaitable<void> WaitForRecords(std::uint64_t wait_ms) {
    asio::steady_timer timer(this->context, std::chrono::milliseconds(wait_ms));
    this->readers.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    this->readers.erase(&timer);
  }

  /// Answers when the weights would have arrived.
  asio::awaitable<void> FetchWeights(Exchange& exchange) {
    const bool is_adapter = exchange.QueryNumber("adapter", 0) != 0;
    const auto base_ms = static_cast<double>(exchange.QueryNumber("ms", 100));
    int& in_flight = is_adapter ? this->adapter_loads : this->model_loads;
    ++in_flight;
    const double knee = is_adapter ? kAdapterConcurrency : kStoreConcurrency;
    const double slowdown = std::max(1.0, in_flight / knee);
    co_await Sleep(std::chrono::microseconds(
        static_cast<std::int64_t>(base_ms * slowdown * 1000)));
    --in_flight;
    co_await exchange.Answer(200, Object("state", "fetched"));
  }

  void SetFaults(const Json& faults) {
    this->outage = faults.value("outage", this->outage);
    this->slow_ms = faults.value("slow_ms", this->slow_ms);
    this->lose_append_answers =
        faults.value("lose_append_answers", this->lose_append_answers);
    this->keep_records = faults.value("keep_records", this->keep_records);
    std::ranges::for_each(this->readers, [](auto* timer) { timer->cancel(); });
  }

  std::uint64_t Next() const { return this->first_kept + this->records.size(); }

  asio::io_context& context;
  std::deque<Json> records;
  std::uint64_t first_kept = 0;
  Json hosts = Json::array();
  std::set<asio::steady_timer*> readers;
  int model_loads = 0;
  int adapter_loads = 0;
  bool outage = false;
  int slow_ms = 0;
  int lose_append_answers = 0;
  std::size_t keep_records = 100000;
};

}  // namespace
}  // namespace cicadaloft::fakes

int main(int argc, char** argv) {
  auto arguments =
      docopt::docopt(cicadaloft::fakes::kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context;
  cicadaloft::fakes::Platform platform(context);
  cicadaloft::fakes::Serve(context, arguments["--listen"].asString(), platform);
}
