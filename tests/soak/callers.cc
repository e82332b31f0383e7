#include "callers.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <cmath>

#include "checks.h"
#include "stream_check.h"

namespace cicadaloft::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);
/// Callers allow a new connection this long.
constexpr Millis kConnectTimeout = 1000;
/// The last 500 ms that a late response gets, and a little for this program.
constexpr Millis kWaitPastDeadline = kAnswerSlack + 100;
/// Requests that are open at a time, for the machine's sake.
constexpr int kMaxOpen = 400;

struct RouteShare {
  const char* route;
  int share;
  const char* method;
  long prompt_tokens;
  long output_tokens;
  std::size_t body_bytes;
  Millis deadline;
  bool may_run_twice;
};

// The kinds of requests of the deployment, with their shares.
constexpr std::array kRoutes{
    RouteShare{"draft", 471, "POST", 715, 280, 1400, 10000, false},
    RouteShare{"dossier", 204, "POST", 715, 280, 1400, 20000, true},
    RouteShare{"reply", 417, "POST", 383, 42, 770, 3000, false},
    RouteShare{"reserve", 239, "POST", 0, 0, 600, 4000, false},
    RouteShare{"lookup", 96, "GET", 0, 0, 0, 4000, true}};

}  // namespace

Callers::Callers(asio::io_context& context,
                 Settings settings,
                 Balancer& balancer,
                 OnCall on_call)
    : context(context),
      settings(std::move(settings)),
      balancer(balancer),
      on_call(std::move(on_call)),
      random(this->settings.seed) {}

asio::awaitable<void> Callers::Run() {
  constexpr double kMillisPerSecond = 1000;
  constexpr double kUnit = 1.0 / 1048576.0;
  std::uint64_t number = 0;
  double next = static_cast<double>(Now());
  while (!this->is_stopping) {
    const double share =
        static_cast<double>(1 + this->random() % 1048576U) * kUnit;
    next -= std::log(share) * kMillisPerSecond / this->settings.rate_per_second;
    co_await Sleep(std::max<Millis>(0, static_cast<Millis>(next) - Now()));
    const std::string id =
        this->settings.id_prefix + "-" + std::to_string(++number);
    Plan plan = this->MakePlan();
    if (this->open_requests < kMaxOpen) {
      ++this->open_requests;
      asio::co_spawn(this->context, this->Request(std::move(plan), id),
                     asio::detached);
    }
  }
  constexpr Millis kPoll = 50;
  while (this->open_requests > 0) {
    co_await Sleep(kPoll);
  }
}

Callers::Plan Callers::MakePlan() {
  constexpr int kTotal = 471 + 204 + 417 + 239 + 96;
  constexpr std::uint64_t kSlowShare = 20;  // One request in 20 is sent slowly.
  constexpr std::uint64_t kMaxPause = 300;
  int left = static_cast<int>(this->random() % kTotal);
  const RouteShare& route =
      *std::ranges::find_if(kRoutes, [&](const RouteShare& item) {
        left -= item.share;
        return left < 0;
      });
  const bool is_slow = this->random() % kSlowShare == 0;
  const std::uint64_t pause = this->random() % kMaxPause;
  const std::uint64_t model = this->random() % kModels;
  return {.route = route.route,
          .method = route.method,
          .model = route.output_tokens > 0 ? "m" + std::to_string(model) : "",
          .prompt_tokens = route.prompt_tokens,
          .output_tokens = route.output_tokens,
          .body = std::string(route.body_bytes, 'x'),
          .deadline = route.deadline,
          .may_run_twice = route.may_run_twice,
          .pause = is_slow ? static_cast<Millis>(pause) : 0};
}

asio::awaitable<void> Callers::Request(Plan plan, std::string id) {
  Call call{.id = std::move(id),
            .may_run_twice = plan.may_run_twice,
            .deadline_at = Now() + plan.deadline};
  ConnectionPtr connection = this->TakeIdle(call);
  if (!connection) {
    connection = co_await this->Connect(call);
  }
  if (connection) {
    call.host = connection->host;
    const bool is_sent = co_await this->Send(*connection, plan, call);
    const bool is_kept =
        is_sent && co_await this->Receive(*connection, plan, call);
    if (is_kept) {
      this->idle.push_back(connection);
    }
  }
  call.ended_at = Now();
  --this->open_requests;
  this->on_call(std::move(call));
}

Callers::ConnectionPtr Callers::TakeIdle(Call& call) {
  while (!this->idle.empty()) {
    const auto at = this->random() % this->idle.size();
    ConnectionPtr connection = this->idle[at];
    this->idle[at] = this->idle.back();
    this->idle.pop_back();
    char byte = 0;
    const auto got = recv(connection->stream.socket().native_handle(), &byte, 1,
                          MSG_PEEK | MSG_DONTWAIT);
    const bool is_open = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (is_open && connection->buffer.size() == 0) {
      return connection;
    }
    if (got > 0 || connection->buffer.size() > 0) {
      call.fault = "MIXED: bytes on a connection without a request, host " +
                   std::to_string(connection->host);
    }
  }
  return nullptr;
}

asio::awaitable<Callers::ConnectionPtr> Callers::Connect(Call& call) {
  const HostPlace* const host =
      this->balancer.Pick(this->settings.data_centre, this->random());
  if (host == nullptr) {
    co_return nullptr;
  }
  call.host = host->index;
  const auto connection = std::make_shared<Connection>(
      Connection{.stream = boost::beast::tcp_stream(this->context),
                 .buffer = {},
                 .host = host->index});
  connection->stream.expires_after(std::chrono::milliseconds(kConnectTimeout));
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(host->listen.ip),
      static_cast<unsigned short>(host->listen.port));
  const auto [error] =
      co_await connection->stream.async_connect(endpoint, kNoThrow);
  co_return error ? nullptr : connection;
}

asio::awaitable<bool> Callers::Send(Connection& connection,
                                    const Plan& plan,
                                    Call& call) {
  http::request<http::string_body> request(http::string_to_verb(plan.method),
                                           "/" + plan.route + "/x", 11);
  request.set(http::field::host, "soak.example");
  request.set(http::field::authorization, "Bearer soak-key");
  request.set("Request-Id", call.id);
  request.set("Deadline-Ms", std::to_string(call.deadline_at - Now()));
  if (!plan.model.empty()) {
    request.set("Model", plan.model);
    request.set("Token-Counts", std::to_string(plan.prompt_tokens) + "," +
                                    std::to_string(plan.output_tokens));
  }
  request.body() = plan.body;
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  const std::string bytes = text.str();
  connection.stream.expires_after(
      std::chrono::milliseconds(call.deadline_at + kWaitPastDeadline - Now()));
  const std::size_t first = plan.pause > 0 ? bytes.size() / 2 : bytes.size();
  const auto [error, size] = co_await asio::async_write(
      connection.stream, asio::buffer(bytes.data(), first), kNoThrow);
  if (error) {
    co_return false;
  }
  if (first < bytes.size()) {
    co_await Sleep(plan.pause);
    const auto [rest_error, rest_size] = co_await asio::async_write(
        connection.stream, asio::buffer(bytes) + first, kNoThrow);
    if (rest_error) {
      co_return false;
    }
  }
  call.sent_at = Now();
  co_return true;
}

asio::awaitable<bool> Callers::Receive(Connection& connection,
                                       const Plan& plan,
                                       Call& call) {
  http::response_parser<http::string_body> parser;
  connection.stream.expires_after(std::chrono::milliseconds(
      std::max<Millis>(1, call.deadline_at + kWaitPastDeadline - Now())));
  const auto [error, size] = co_await http::async_read(
      connection.stream, connection.buffer, parser, kNoThrow);
  if (parser.is_header_done()) {
    call.status = static_cast<int>(parser.get().result_int());
  }
  if (error) {
    call.outcome = error == boost::beast::error::timeout ? Outcome::kTimedOut
                                                         : Outcome::kClosed;
    co_return false;
  }
  call.outcome = Outcome::kAnswered;
  const auto& response = parser.get();
  if (call.status / 100 == 2) {
    const ResponseParts parts{.id = std::string(response["Request-Id"]),
                              .stamp = std::string(response["Server-Stamp"]),
                              .body = response.body()};
    call.fault = plan.model.empty() ? CheckPlain(call.id, parts)
                                    : CheckStream(call.id, parts);
  }
  co_return response.keep_alive();
}

}  // namespace cicadaloft::soak
