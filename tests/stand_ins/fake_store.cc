// A fake of the platform's metadata store with the calls that cicadaloft uses:
// topics of records, keyed topics, long polls, conditional appends and eras.
// Faults, and steps back to an earlier copy, are injected by a request.

#include <docopt/docopt.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "http_server.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kUsage[] = R"(A fake metadata store.

Usage: fake_store --listen ADDRESS [--era ERA]

Options:
  --listen ADDRESS  Address to listen on, "IP:port".
  --era ERA         Its era in Store-Era of each response; "none": no such
                    header [default: 1].

In addition to the calls of the store:
  POST /admin/put?topic=T&key=K   writes the body under the key; an empty body
                                  deletes the key
  POST /admin/trim?topic=T        deletes the topic's history
  POST /admin/fault?kind=K&for_ms=N   injects a fault for N ms; K: down (answers
                                      503), lost (appends take effect without an
                                      answer), silent (no answer), slow (200 ms)
  POST /admin/refuse?from=IP&for_ms=N   calls from this address get 429 for N ms
  POST /admin/restore?back_ms=B&away_ms=A   for A ms the store is away: calls
                                  that wait lose their connection, others get
                                  503. Then it has no record that was younger
                                  than B ms when it went away, and its era is
                                  one higher. What was lost of keyed.op and
                                  keyed.servers is written again 0.5 s later,
                                  unless its key has been written since
  POST /admin/delay?topic=T&for_ms=N   the next append to T gets no answer, and
                                  is executed N ms later if its condition holds
)";

/// Time from a return of the store until the operator and the runners write
/// again what was lost.
constexpr milliseconds kRewriteDelay{500};

struct Record {
  std::string bytes;
  Clock::time_point appended_at;
};

struct Topic {
  std::vector<Record> records;
  std::uint64_t first = 0;  ///< Offset; records before it are trimmed.
};

struct LostRecord {
  std::string topic;
  std::string bytes;
};

std::string KeyOf(const std::string& record) {
  return record.substr(1, static_cast<unsigned char>(record.front()));
}

/// An append whose execution is put off.
struct Delay {
  std::string topic;
  milliseconds duration;
};

std::string BigEndian(std::uint64_t number, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    text += static_cast<char>(number >> static_cast<unsigned>(shift) & 0xFFU);
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

class FakeStore {
 public:
  FakeStore(asio::io_context& context, std::optional<std::uint64_t> era)
      : context(context), changed(context), era(era) {
    this->changed.expires_at(Clock::time_point::max());
  }

  asio::awaitable<bool> Handle(const Request& request, Socket& socket) {
    if (this->IsRefused(socket)) {
      co_return co_await this->Write(socket, MakeResponse(429));
    }
    const std::string target(request.target());
    const std::string path = PathOf(target);
    const auto query = QueryOf(target);
    if (path.starts_with("/admin/")) {
      co_return co_await this->Write(socket, this->Admin(path, query, request));
    }
    if (this->IsAway()) {
      co_return co_await this->Write(socket, MakeResponse(503));
    }
    if (this->HasFault("silent")) {
      co_await this->WaitForever();
    }
    if (this->HasFault("slow")) {
      asio::steady_timer timer(socket.get_executor(), milliseconds(200));
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->HasFault("down")) {
      co_return co_await this->Write(socket, MakeResponse(503));
    }
    if (path == "/log-read") {
      co_return co_await this->Read(query, socket);
    }
    if (path == "/log-append" && this->delay &&
        this->delay->topic == query.at("topic")) {
      asio::co_spawn(this->context,
                     this->AppendLater(query, request, this->delay->duration),
                     asio::detached);
      this->delay.reset();
      co_await this->WaitForever();
    }
    Response response = path == "/log-append"   ? this->Append(query, request)
                        : path == "/log-newest" ? this->Newest(query)
                                                : MakeResponse(404);
    if (path == "/log-append" && this->HasFault("lost")) {
      co_return false;
    }
    co_return co_await this->Write(socket, std::move(response));
  }

 private:
  using Query = std::map<std::string, std::string>;

  asio::awaitable<bool> Write(Socket& socket, Response response) {
    if (this->IsRefused(socket)) {
      co_return co_await stand_ins::Write(socket, MakeResponse(429));
    }
    if (this->era) {
      response.set("Store-Era", std::to_string(*this->era));
    }
    co_return co_await stand_ins::Write(socket, std::move(response));
  }

  asio::awaitable<void> WaitForever() {
    asio::steady_timer forever(this->context, Clock::time_point::max());
    co_await forever.async_wait(asio::as_tuple(asio::use_awaitable));
  }

  bool IsAway() const { return this->away_count > 0; }

  bool IsRefused(const Socket& socket) const {
    boost::system::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    const auto found = this->refused_until.find(
        error ? std::string() : endpoint.address().to_string());
    return found != this->refused_until.end() && Clock::now() < found->second;
  }

  asio::awaitable<void> AppendLater(Query query,
                                    Request request,
                                    milliseconds duration) {
    asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(asio::use_awaitable);
    this->Append(query, request);
  }

  // Removes the records of the last `back` at once: nobody can read while the
  // store is away.
  void StepBack(milliseconds back) {
    const auto cut = Clock::now() - back;
    for (auto& [name, topic] : this->topics) {
      const auto lost = std::ranges::find_if(
          topic.records, [&](const Record& r) { return r.appended_at > cut; });
      if (name == "keyed.op" || name == "keyed.servers") {
        for (const Record& record :
             std::ranges::subrange(lost, topic.records.end())) {
          this->lost.push_back({name, record.bytes});
        }
      }
      topic.records.erase(lost, topic.records.end());
      topic.first = std::min<std::uint64_t>(topic.first, topic.records.size());
    }
    this->changed.cancel();
  }

  asio::awaitable<void> Restore(milliseconds back, milliseconds away) {
    ++this->away_count;
    ++this->step_count;
    this->StepBack(back);
    asio::steady_timer timer(this->context, away);
    co_await timer.async_wait(asio::use_awaitable);
    --this->away_count;
    if (this->era) {
      ++*this->era;
    }
    const std::uint64_t returned = ++this->return_count;
    timer.expires_after(kRewriteDelay);
    co_await timer.async_wait(asio::use_awaitable);
    if (returned == this->return_count && !this->IsAway()) {
      this->WriteLostAgain();
    }
  }

  void WriteLostAgain() {
    for (const LostRecord& record : std::exchange(this->lost, {})) {
      this->Add(this->topics[record.topic], record.bytes);
    }
  }

  // What is lost of a key is not written again once the key has been written.
  void ForgetLost(const std::string& topic, const std::string& key) {
    std::erase_if(this->lost, [&](const LostRecord& record) {
      return record.topic == topic && KeyOf(record.bytes) == key;
    });
  }

  bool HasFault(const std::string& kind) const {
    const auto found = this->faults.find(kind);
    return found != this->faults.end() && Clock::now() < found->second;
  }

  void Add(Topic& topic, std::string record) {
    topic.records.push_back({std::move(record), Clock::now()});
    this->changed.cancel();
  }

  Response Admin(const std::string& path,
                 const Query& query,
                 const Request& request) {
    if (path == "/admin/fault") {
      this->faults[query.at("kind")] =
          Clock::now() + milliseconds(std::stoi(query.at("for_ms")));
      return MakeResponse(200);
    }
    if (path == "/admin/refuse") {
      this->refused_until[query.at("from")] =
          Clock::now() + milliseconds(std::stoi(query.at("for_ms")));
      return MakeResponse(200);
    }
    if (path == "/admin/restore") {
      asio::co_spawn(
          this->context,
          this->Restore(milliseconds(std::stoi(query.at("back_ms"))),
                        milliseconds(std::stoi(query.at("away_ms")))),
          asio::detached);
      return MakeResponse(200);
    }
    if (path == "/admin/delay") {
      this->delay =
          Delay{.topic = query.at("topic"),
                .duration = milliseconds(std::stoi(query.at("for_ms")))};
      return MakeResponse(200);
    }
    if (this->IsAway()) {
      return MakeResponse(503);
    }
    Topic& topic = this->topics[query.at("topic")];
    if (path == "/admin/trim") {
      topic.first = topic.records.size();
      this->changed.cancel();
      return MakeResponse(200);
    }
    const std::string& key = query.at("key");
    this->ForgetLost(query.at("topic"), key);
    this->Add(topic, static_cast<char>(key.size()) + key + request.body());
    return MakeResponse(200);
  }

  asio::awaitable<bool> Read(const Query& query, Socket& socket) {
    Topic& topic = this->topics[query.at("topic")];
    const std::uint64_t from = std::stoull(query.at("from"));
    const std::uint64_t step = this->step_count;
    const auto deadline =
        Clock::now() + milliseconds(query.contains("wait_ms")
                                        ? std::stoi(query.at("wait_ms"))
                                        : 0);
    while (from == topic.records.size() && Clock::now() < deadline) {
      const auto timer =
          std::make_shared<asio::steady_timer>(socket.get_executor(), deadline);
      // Waits for a change or the deadline, whichever is first.
      this->changed.async_wait([timer](auto) { timer->cancel(); });
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
      if (step != this->step_count) {
        co_return false;
      }
    }
    if (from < topic.first || from > topic.records.size()) {
      const json body = {{"first", topic.first}};
      co_return co_await this->Write(socket, MakeResponse(410, body.dump()));
    }
    std::string body = BigEndian(topic.records.size(), 8);
    body += BigEndian(topic.first, 8);
    for (std::uint64_t i = from; i < topic.records.size(); ++i) {
      const std::string& bytes = topic.records[i].bytes;
      body += BigEndian(bytes.size(), 4) + bytes;
    }
    co_return co_await this->Write(socket, MakeResponse(200, body));
  }

  Response Append(const Query& query, const Request& request) {
    Topic& topic = this->topics[query.at("topic")];
    const bool has_conflict =
        query.contains("at") &&
        std::stoull(query.at("at")) != topic.records.size();
    if (has_conflict) {
      return MakeResponse(412, json{{"end", topic.records.size()}}.dump());
    }
    const std::uint64_t offset = topic.records.size();
    const std::string& body = request.body();
    std::size_t at = 0;
    while (at + 4 <= body.size()) {
      std::uint32_t size = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        size = size << 8U | static_cast<unsigned char>(body[at + i]);
      }
      this->Add(topic, body.substr(at + 4, size));
      at += 4 + size;
    }
    return MakeResponse(
        200, json{{"offset", offset}, {"end", topic.records.size()}}.dump());
  }

  Response Newest(const Query& query) {
    const Topic& topic = this->topics[query.at("topic")];
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    for (std::size_t i = 0; i < topic.records.size(); ++i) {
      const std::string& record = topic.records[i].bytes;
      const std::string key = KeyOf(record);
      newest[key] = {record.substr(1 + key.size()), i};
    }
    json items = json::array();
    for (const auto& [key, value] : newest) {
      if (!value.first.empty()) {
        items.push_back({{"key", key},
                         {"value", Base64(value.first)},
                         {"offset", value.second}});
      }
    }
    return MakeResponse(200, json{{"items", items},
                                  {"has_more", false},
                                  {"end", topic.records.size()}}
                                 .dump());
  }

  asio::io_context& context;
  std::map<std::string, Topic> topics;
  std::map<std::string, Clock::time_point> faults;
  std::map<std::string, Clock::time_point> refused_until;  ///< By address.
  asio::steady_timer changed;  ///< Cancelled on each change.
  std::optional<std::uint64_t> era;
  std::uint64_t step_count = 0;  ///< Number of steps back.
  std::uint64_t return_count = 0;
  int away_count = 0;            ///< Steps back during which it is away still.
  std::vector<LostRecord> lost;  ///< Is to be written again, in this order.
  std::optional<Delay> delay;    ///< Of the next append.
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context(1);
  const std::string era = options["--era"].asString();
  FakeStore store(
      context, era == "none" ? std::nullopt : std::optional(std::stoull(era)));
  Serve(context, options["--listen"].asString(),
        [&store](const Request& request, Socket& socket) {
          return store.Handle(request, socket);
        });
}
