// Callers that use open connections until the host is gone, and count what
// became of each request: on a real machine nobody can tell whether a host has
// read a request, but a caller knows when its last byte was sent.
#include <docopt/docopt.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr char kUsage[] =
    R"(Sends requests on kept connections and prints what became of them.

Usage:
  kept_callers --to ADDRESSES [options]

Options:
  --to ADDRESSES    Hosts IP:port, separated by commas; after a failure a caller
                    goes on with the next one.
  --callers N       Number of callers [default: 60].
  --ms N            How long requests are sent [default: 10000].
  --pause-ms N      Mean pause between two requests of a caller [default: 20].
  --path PATH       Of the requests [default: /reservations/a].
  --model NAME      Header Model, for requests that need one.
  --key KEY         API key [default: demo-key].
  --body-bytes N    Size of a request's body [default: 1].
  --log FILE        Appends a line for each request: when it was sent, on the
                    steady clock in ms, its id, and its outcome.
  --id-prefix TEXT  Of the requests' ids [default: c].
  --reconnect       A new connection for each request.
  --eager           Open the next connection before the pause.
  --seed N          Of the pauses [default: 1].
)";

/// A request that is unanswered later than this after its last byte may have
/// been read by the host.
constexpr milliseconds kLossSlack(200);
constexpr milliseconds kRetryDelay(50);
constexpr milliseconds kAnswerTimeout(12000);

struct Settings {
  const std::vector<tcp::endpoint> hosts;
  const milliseconds duration;
  const int pause_ms;
  const std::string path;
  const std::string model;
  const std::string key;
  const std::size_t body_bytes;
  const bool is_eager;
  const bool is_reconnecting;
  const std::string id_prefix;
};

/// Where requests are written down; not open if that isn't asked for.
using RequestLog = std::ofstream;

std::vector<tcp::endpoint> ParseEndpoints(const std::string& list) {
  std::vector<tcp::endpoint> endpoints;
  std::size_t start = 0;
  while (start < list.size()) {
    const std::size_t end = std::min(list.find(',', start), list.size());
    const std::string address = list.substr(start, end - start);
    const std::size_t colon = address.rfind(':');
    endpoints.emplace_back(
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    start = end + 1;
  }
  return endpoints;
}

/// Counts by outcome, shared by all callers of this program.
using Counts = std::map<std::string, std::uint64_t>;

class KeptCaller {
 public:
  KeptCaller(const Settings& settings,
             int number,
             int seed,
             Counts& counts,
             RequestLog& log)
      : settings(settings),
        number(number),
        counts(counts),
        log(log),
        random(static_cast<unsigned>(seed * 1000 + number)),
        host(static_cast<std::size_t>(number) % settings.hosts.size()) {}

  asio::awaitable<void> Run() {
    const auto executor = co_await asio::this_coro::executor;
    const auto end = Clock::now() + this->settings.duration;
    std::uniform_int_distribution<int> pause(0, 2 * this->settings.pause_ms);
    asio::steady_timer timer(executor);
    while (Clock::now() < end) {
      if (this->settings.is_eager && !this->socket) {
        co_await this->Connect();
      }
      timer.expires_after(milliseconds(pause(this->random)));
      co_await timer.async_wait(kAsTuple);
      if (!this->socket && !co_await this->Connect()) {
        timer.expires_after(kRetryDelay);
        co_await timer.async_wait(kAsTuple);
        continue;
      }
      const auto sent_at = Clock::now();
      const std::string outcome = co_await this->SendRequest();
      ++this->counts[outcome];
      if (this->log.is_open()) {
        this->log << std::chrono::duration_cast<milliseconds>(
                         sent_at.time_since_epoch())
                         .count()
                  << " " << this->RequestId() << " " << outcome << std::endl;
      }
      if (this->settings.is_reconnecting) {
        this->socket.reset();
      }
    }
  }

 private:
  asio::awaitable<bool> Connect() {
    this->buffer.clear();
    this->socket.emplace(co_await asio::this_coro::executor);
    const auto [error] = co_await this->socket->async_connect(
        this->settings.hosts[this->host], kAsTuple);
    if (error) {
      ++this->counts["unconnected"];
      this->Leave();
      co_return false;
    }
    this->socket->set_option(tcp::no_delay(true));
    co_return true;
  }

  void Leave() {
    this->socket.reset();
    this->host = (this->host + 1) % this->settings.hosts.size();
  }

  std::string RequestId() const {
    return this->settings.id_prefix + std::to_string(this->number) + "-" +
           std::to_string(this->last_id);
  }

  std::string MakeRequest() {
    ++this->last_id;
    std::string text =
        "POST " + this->settings.path +
        " HTTP/1.1\r\nHost: provador.example\r\nDeadline-Ms: 8000\r\n"
        "Authorization: Bearer " +
        this->settings.key + "\r\nRequest-Id: " + this->RequestId() + "\r\n";
    if (!this->settings.model.empty()) {
      text += "Model: " + this->settings.model + "\r\nToken-Counts: 10,10\r\n";
    }
    return text +
           "Content-Length: " + std::to_string(this->settings.body_bytes) +
           "\r\n\r\n" + std::string(this->settings.body_bytes, 'x');
  }

  // @return the outcome's name.
  asio::awaitable<std::string> SendRequest() {
    using asio::experimental::awaitable_operators::operator||;
    const std::string text = this->MakeRequest();
    const auto [write_error, written] =
        co_await asio::async_write(*this->socket, asio::buffer(text), kAsTuple);
    const auto sent_at = Clock::now();
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             kAnswerTimeout);
    const auto read = co_await (
        http::async_read(*this->socket, this->buffer, parser, kAsTuple) ||
        timer.async_wait(kAsTuple));
    const bool is_late = Clock::now() - sent_at > kLossSlack;
    if (read.index() != 0) {
      this->Leave();
      co_return "silent";
    }
    if (std::get<0>(std::get<0>(read))) {
      this->Leave();
      if (parser.got_some()) {
        co_return "broken";
      }
      co_return !write_error && is_late ? "lost" : "crossed";
    }
    const auto response = parser.release();
    if (!response.keep_alive()) {
      this->Leave();
    }
    co_return std::to_string(response.result_int());
  }

  const Settings& settings;
  const int number;
  Counts& counts;
  RequestLog& log;
  std::mt19937 random;
  std::size_t host;
  std::uint64_t last_id = 0;
  std::optional<tcp::socket> socket;
  boost::beast::flat_buffer buffer;
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const Settings settings{
      .hosts = ParseEndpoints(options["--to"].asString()),
      .duration = milliseconds(options["--ms"].asLong()),
      .pause_ms = static_cast<int>(options["--pause-ms"].asLong()),
      .path = options["--path"].asString(),
      .model = options["--model"] ? options["--model"].asString() : "",
      .key = options["--key"].asString(),
      .body_bytes = static_cast<std::size_t>(options["--body-bytes"].asLong()),
      .is_eager = options["--eager"].asBool(),
      .is_reconnecting = options["--reconnect"].asBool(),
      .id_prefix = options["--id-prefix"].asString()};
  RequestLog log;
  if (options["--log"]) {
    log.open(options["--log"].asString(), std::ios::app);
  }
  const int seed = static_cast<int>(options["--seed"].asLong());
  Counts counts;
  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<KeptCaller>> callers;
  for (int i = 0; i < options["--callers"].asLong(); ++i) {
    callers.push_back(
        std::make_unique<KeptCaller>(settings, i, seed, counts, log));
    boost::asio::co_spawn(context, callers.back()->Run(),
                          boost::asio::detached);
  }
  context.run();
  std::cout << nlohmann::json(counts).dump() << "\n";
}
