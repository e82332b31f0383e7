// A fake of the platform's metadata store with the calls that cicadaloft uses:
// topics of records, keyed topics, long polls and conditional appends. Faults
// are injected by a request.

#include <docopt/docopt.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http_server.h"

namespace cicadaloft::stand_ins {
namespace {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kUsage[] = R"(A fake metadata store.

Usage: fake_store --listen ADDRESS

Options:
  --listen ADDRESS  Address to listen on, "IP:port".

In addition to the calls of the store:
  POST /admin/put?topic=T&key=K   writes the body under the key; an empty body
                                  deletes the key
  POST /admin/trim?topic=T        deletes the topic's history
  POST /admin/fault?kind=K&for_ms=N   injects a fault for N ms; K: down (answers
                                      503), lost (appends take effect without an
                                      answer), silent (no answer), slow (200 ms)
)";

struct Topic {
  std::vector<std::string> records;
  std::uint64_t first = 0;  ///< Offset; records before it are trimmed.
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
  explicit FakeStore(asio::io_context& context) : changed(context) {
    this->changed.expires_at(Clock::time_point::max());
  }

  asio::awaitable<bool> Handle(const Request& request, Socket& socket) {
    const std::string target(request.target());
    const std::string path = PathOf(target);
    const auto query = QueryOf(target);
    if (path.starts_with("/admin/")) {
      co_return co_await Write(socket, this->Admin(path, query, request));
    }
    if (this->HasFault("silent")) {
      asio::steady_timer forever(socket.get_executor(),
                                 Clock::time_point::max());
      co_await forever.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (this->HasFault("slow")) {
      asio::steady_timer timer(socket.get_executor(), milliseconds(200));
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->HasFault("down")) {
      co_return co_await Write(socket, MakeResponse(503));
    }
    if (path == "/log-read") {
      co_return co_await this->Read(query, socket);
    }
    Response response = path == "/log-append"   ? this->Append(query, request)
                        : path == "/log-newest" ? this->Newest(query)
                                                : MakeResponse(404);
    if (path == "/log-append" && this->HasFault("lost")) {
      co_return false;
    }
    co_return co_await Write(socket, std::move(response));
  }

 private:
  using Query = std::map<std::string, std::string>;

  bool HasFault(const std::string& kind) const {
    const auto found = this->faults.find(kind);
    return found != this->faults.end() && Clock::now() < found->second;
  }

  void Add(Topic& topic, std::string record) {
    topic.records.push_back(std::move(record));
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
    Topic& topic = this->topics[query.at("topic")];
    if (path == "/admin/trim") {
      topic.first = topic.records.size();
      this->changed.cancel();
      return MakeResponse(200);
    }
    const std::string& key = query.at("key");
    this->Add(topic, static_cast<char>(key.size()) + key + request.body());
    return MakeResponse(200);
  }

  asio::awaitable<bool> Read(const Query& query, Socket& socket) {
    Topic& topic = this->topics[query.at("topic")];
    const std::uint64_t from = std::stoull(query.at("from"));
    const auto deadline =
        Clock::now() + milliseconds(query.contains("wait_ms")
                                        ? std::stoi(query.at("wait_ms"))
                                        : 0);
    while (from >= topic.records.size() && Clock::now() < deadline) {
      const auto timer =
          std::make_shared<asio::steady_timer>(socket.get_executor(), deadline);
      // Waits for a change or the deadline, whichever is first.
      this->changed.async_wait([timer](auto) { timer->cancel(); });
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (from < topic.first) {
      const json body = {{"first", topic.first}};
      co_return co_await Write(socket, MakeResponse(410, body.dump()));
    }
    std::string body = BigEndian(topic.records.size(), 8);
    body += BigEndian(topic.first, 8);
    for (std::uint64_t i = from; i < topic.records.size(); ++i) {
      body += BigEndian(topic.records[i].size(), 4) + topic.records[i];
    }
    co_return co_await Write(socket, MakeResponse(200, body));
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
      const std::string& record = topic.records[i];
      const auto size = static_cast<unsigned char>(record.front());
      newest[record.substr(1, size)] = {record.substr(1 + size), i};
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

  std::map<std::string, Topic> topics;
  std::map<std::string, Clock::time_point> faults;
  asio::steady_timer changed;  ///< Cancelled on each change.
};

}  // namespace
}  // namespace cicadaloft::stand_ins

int main(int argc, char** argv) {
  using namespace cicadaloft::stand_ins;
  auto options = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  boost::asio::io_context context(1);
  FakeStore store(context);
  Serve(context, options["--listen"].asString(),
        [&store](const Request& request, Socket& socket) {
          return store.Handle(request, socket);
        });
}
