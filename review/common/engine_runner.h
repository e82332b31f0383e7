#ifndef CICADALOFT_REVIEW_COMMON_ENGINE_RUNNER_H_
#define CICADALOFT_REVIEW_COMMON_ENGINE_RUNNER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "harness.h"

/// A stand-in of a model runner, with what runners have seen.
namespace review {

inline constexpr int kHeartbeatMs = 1200;
inline constexpr int kMissedHeartbeats = 3;
/// From the crash of a runner until it is back, empty and under another id.
inline constexpr int kRestartMs = 2500;
/// The models' weights are on the runners' disks.
inline constexpr int kLoadMs = 520;
inline constexpr int kPrefillMs = 20;
inline constexpr int kEventCount = 10;
inline constexpr int kEventIntervalMs = 30;
inline constexpr char kPoisonPart[] = "badc0de5";

/// @return the text of a field of a JSON object without nested objects.
inline std::string JsonText(const std::string& json, const std::string& field) {
  std::size_t start = json.find("\"" + field + "\":");
  if (start == std::string::npos) {
    return "";
  }
  start += field.size() + 3;
  std::string text =
      json.substr(start, json.find_first_of(",}", start) - start);
  std::erase(text, '"');
  return text;
}

/// What runners and clients have seen.
struct Observations {
  explicit Observations(const CaseOptions& options)
      : options(options), record(options.record) {}

  const CaseOptions options;
  Record record;
  /// Whether a runner writes the first event before it crashes.
  bool answers_before_crash = false;
  std::mutex mutex;
  std::vector<std::int64_t> crashes;  ///< Times.
  std::set<std::string> begun;  ///< Ids of prompts that runners began to run.
  /// Times at which requests with the part reached runners that began to run
  /// them.
  std::vector<std::int64_t> poison_arrivals;
  std::atomic<bool> is_over = false;
  std::atomic<int> sound_served = 0;
  std::atomic<int> sound_failed = 0;
  std::atomic<int> poison_sent = 0;
};

/// One runner's place: one process after the other at the same address.
class EngineRunner {
 public:
  EngineRunner(Observations& seen,
               Platform& platform,
               int index,
               std::set<std::string> disk,
               std::set<std::string> loaded)
      : seen(seen),
        platform(platform),
        name("i-" + std::to_string(index)),
        zone("recife-" + std::string(1, static_cast<char>('a' + index % 3))),
        disk(std::move(disk)),
        loaded(std::move(loaded)),
        server(platform.own_port(index),
               [this](const Message& request, Connection& connection) {
                 return this->Answer(request, connection);
               }) {}

  void Start() { this->Begin(); }
  void Close() { this->server.Close(); }

  /// Heartbeats, the end of a crashed process, and its restart.
  void Tick() {
    const std::int64_t now = this->seen.record.Now();
    if (this->has_crashed.exchange(false)) {
      this->server.Close();
      this->is_running = false;
      this->lapsing_id = this->id;
      this->lapses_at = this->beat_at + kMissedHeartbeats * kHeartbeatMs;
      this->restarts_at = now + kRestartMs;
      const std::lock_guard lock(this->order_mutex);
      this->loaded.clear();
    }
    if (!this->lapsing_id.empty() && now >= this->lapses_at) {
      this->platform.Put("keyed.servers", this->lapsing_id, "");
      this->lapsing_id.clear();
    }
    if (!this->is_running && now >= this->restarts_at) {
      this->Begin();
    }
    const bool has_loaded = this->loads_until != 0 && now >= this->loads_until;
    if (has_loaded) {
      const std::lock_guard lock(this->order_mutex);
      this->loads_until = 0;
      this->loaded.insert(this->loading);
    }
    if (this->is_running &&
        (has_loaded || now >= this->beat_at + kHeartbeatMs)) {
      this->Register();
    }
  }

 private:
  void Begin() {
    ++this->incarnation;
    this->id = this->name + "-" + std::to_string(this->incarnation);
    this->born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    this->order_count = 0;
    this->loads_until = 0;
    this->is_running = true;
    this->server.Open();
    this->Register();
    this->seen.record.Write("runner " + this->id + " starts");
  }

  void Register() {
    this->beat_at = this->seen.record.Now();
    this->platform.Put("keyed.servers", this->id, this->Describe(""));
  }

  static std::string JoinNames(const std::set<std::string>& names,
                               const std::string& before,
                               const std::string& after) {
    std::string text;
    for (const std::string& name : names) {
      text += (text.empty() ? "" : ", ") + before + name + after;
    }
    return text;
  }

  std::string Describe(const std::string& more) {
    const std::lock_guard lock(this->order_mutex);
    return R"({"service": "modelos", "address": ")" +
           Endpoint(this->server.port) + R"(", "zone": ")" + this->zone +
           R"(", "version": "1", "slots": 64, "state": "ready",)" +
           R"( "cold_remaining_ms": 0, "sequence": )" +
           std::to_string(this->order_count) + R"(, "models": [)" +
           JoinNames(this->loaded, R"({"name": ")",
                     R"(", "version": 1, "adapters": []})") +
           R"(], "at_hand": {"in_memory": [], "on_disk": [)" +
           JoinNames(this->disk, "\"", "\"") + R"(]}, "born": )" +
           std::to_string(this->born) + more + "}";
  }

  bool Answer(const Message& request, Connection& connection) {
    const std::string request_id = request.Header("request-id");
    const auto reject = [&](const std::string& status) {
      return connection.Write(Format("HTTP/1.1 " + status,
                                     {{"Not-Executed", "1"},
                                      {"Request-Id", request_id},
                                      {"Instance-Id", this->id}},
                                     ""));
    };
    const std::string expected = request.Header("expect-instance");
    if (!expected.empty() && expected != this->id) {
      return reject("421 Misdirected Request");
    }
    if (request.Path() == "/report") {
      return connection.Write(
          Format("HTTP/1.1 200 OK", {},
                 this->Describe(
                     R"(, "stage": "both", "busy": )" +
                     std::string(this->loads_until != 0 ? "true" : "false"))));
    }
    if (request.Path() == "/order") {
      return connection.Write(
          Format("HTTP/1.1 " + this->Execute(request.body), {}, ""));
    }
    if (this->IsLoading(request.Header("model"))) {
      return reject("503 Service Unavailable");
    }
    if (!this->Has(request.Header("model"))) {
      return reject("421 Misdirected Request");
    }
    ++this->running;
    const bool stays_open = this->Generate(request, request_id, connection);
    --this->running;
    return stays_open;
  }

  bool Has(const std::string& model) {
    const std::lock_guard lock(this->order_mutex);
    return this->loaded.contains(model);
  }

  bool IsLoading(const std::string& model) {
    const std::lock_guard lock(this->order_mutex);
    return this->loads_until != 0 && this->loading == model;
  }

  std::string Execute(const std::string& order) {
    const std::string status = this->Apply(order);
    this->seen.record.Write("order at " + this->id + ": " + order + " " +
                            status);
    return status;
  }

  std::string Apply(const std::string& order) {
    const bool is_complete = !JsonText(order, "holder").empty() &&
                             !JsonText(order, "fencing_token").empty();
    if (!is_complete) {
      return "400 Bad Request";
    }
    const std::lock_guard lock(this->order_mutex);
    const std::string expect = JsonText(order, "expect");
    const bool has_conflict =
        this->loads_until != 0 ||
        (!expect.empty() && std::atoi(expect.c_str()) != this->order_count);
    if (has_conflict) {
      return "409 Conflict";
    }
    const std::string model = JsonText(order, "model");
    const bool is_load = JsonText(order, "operation") == "load";
    if (is_load == this->loaded.contains(model)) {
      return "200 OK";
    }
    ++this->order_count;
    if (is_load) {
      this->loading = model;
      this->loads_until = this->seen.record.Now() + kLoadMs;
    } else {
      this->loaded.erase(model);
    }
    return "202 Accepted";
  }

  void Crash(const std::string& request_id) {
    if (this->has_crashed.exchange(true)) {
      return;
    }
    this->seen.record.Write("crash of " + this->id + " by " + request_id);
    const std::lock_guard lock(this->seen.mutex);
    this->seen.crashes.push_back(this->seen.record.Now());
  }

  bool Generate(const Message& request,
                const std::string& request_id,
                Connection& connection) {
    const bool is_poison =
        request.Header("prompt-prefix").find(kPoisonPart) != std::string::npos;
    this->seen.record.Write(std::string(is_poison ? "poison " : "sound ") +
                            request_id + " runs at " + this->id);
    {
      const std::lock_guard lock(this->seen.mutex);
      this->seen.begun.insert(request_id);
      if (is_poison) {
        this->seen.poison_arrivals.push_back(this->seen.record.Now());
      }
    }
    Sleep(kPrefillMs);
    const bool crashes = is_poison && this->seen.options.has_trouble;
    if (crashes && !this->seen.answers_before_crash) {
      this->Crash(request_id);
      return false;
    }
    if (!connection.Write("HTTP/1.1 200 OK\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n"
                          "Keep-Alive: timeout=5\r\n"
                          "Instance-Load: " +
                          std::to_string(this->running) +
                          ",0,64\r\nServer-Stamp: stamp." + this->id +
                          "\r\nRequest-Id: " + request_id + "\r\n\r\n")) {
      return false;
    }
    for (int i = 1; i <= kEventCount; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: word " +
                                std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) {
        return false;
      }
      if (crashes) {
        this->Crash(request_id);
        return false;
      }
      Sleep(kEventIntervalMs);
    }
    return connection.Write("0\r\n\r\n");
  }

  Observations& seen;
  Platform& platform;
  const std::string name;
  const std::string zone;
  std::string id;
  std::int64_t born = 0;
  int incarnation = 0;
  std::mutex order_mutex;
  std::atomic<int> running = 0;
  std::atomic<int> order_count = 0;  ///< That have changed what is loaded.
  std::atomic<std::int64_t> loads_until = 0;
  const std::set<std::string> disk;
  std::set<std::string> loaded;
  std::string loading;
  std::atomic<bool> has_crashed = false;
  bool is_running = false;
  std::int64_t beat_at = 0;
  std::int64_t restarts_at = 0;
  std::string lapsing_id;
  std::int64_t lapses_at = 0;
  Server server;
};

}  // namespace review

#endif  // CICADALOFT_REVIEW_COMMON_ENGINE_RUNNER_H_
