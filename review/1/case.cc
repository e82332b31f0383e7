// One answer of one of three model runners goes on with bytes that are no
// answer and have no end. The platform kills a process that exceeds its memory,
// and with it end requests that sound runners are working on.

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "../common/harness.h"

namespace review {
namespace {

constexpr int kHostCount = 3;
constexpr int kModelRunnerCount = 3;
constexpr int kCounterRunnerCount = 3;
constexpr int kRunnerCount = kModelRunnerCount + kCounterRunnerCount;
constexpr int kChatClientsPerHost = 6;
constexpr int kReservingClientsPerHost = 6;
constexpr int kClientsPerHost = kChatClientsPerHost + kReservingClientsPerHost;
/// Of a reservation: the sheet's mean of 60 ms and its spread of a half.
constexpr int kMinWorkMs = 30;
constexpr int kMaxWorkMs = 90;
constexpr int kCounterSlots = 6;
constexpr int kEventCount = 40;
constexpr int kEventIntervalMs = 40;
constexpr int kHeartbeatMs = 1200;
constexpr int kTroubleStartMs = 6000;
constexpr int kEndMs = 25000;
/// Half of what a link of the sheet carries, 1,000 Mbit/s.
constexpr int kSpoiledBytesPerMs = 60'000;
/// Of a machine, by the sheet.
constexpr double kMemoryMb = 260;
constexpr int kRestartMs = 1000;
/// Of requests on kept connections that may be cut.
constexpr int kAllowedLosses = 3;

constexpr char kConfiguration[] = R"({
  "version": 1,
  "routes": [{"name": "chat", "hostname": "provador.example",
    "path_prefix": "/chat/", "route_kind": "streaming", "timeout_ms": 10000,
    "target_latency_ms": 250, "priority": 1, "service": "comentario",
    "max_attempts": 1, "gap_aim_ms": 200},
    {"name": "reservations", "hostname": "provador.example",
    "path_prefix": "/reservations/", "route_kind": "non_idempotent",
    "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
    "service": "balcao", "max_attempts": 1}],
  "services": [{"name": "comentario", "max_connections": 360},
    {"name": "balcao", "max_connections": 100}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
    "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "optica", "api_keys": ["review-key-0001"],
    "priority": 1, "unit": "tokens", "plain_tokens": 200}]
})";

struct State {
  explicit State(const CaseOptions& options)
      : options(options), record(options.record) {}

  const CaseOptions options;
  Record record;
  std::mutex mutex;
  std::set<std::string> run_at_counter;  ///< Ids of reservations.
  std::atomic<bool> is_over = false;
  std::atomic<int> served = 0;
  std::atomic<int> lost = 0;  ///< As the rule counts them.
  std::atomic<int> spoiled = 0;
  std::atomic<int> killed = 0;
};

class Runner {
 public:
  Runner(State& state, Platform& platform, int index)
      : state(state),
        platform(platform),
        id("i-runner-" + std::to_string(index)),
        zone("recife-" + std::string(1, static_cast<char>('a' + index % 3))),
        service(index < kModelRunnerCount ? "comentario" : "balcao"),
        slots(index < kModelRunnerCount ? 64 : kCounterSlots),
        is_faulty(index == 0),
        server(platform.own_port(index),
               [this](const Message& request, Connection& connection) {
                 return this->Answer(request, connection);
               }) {}

  void Start() {
    this->server.Open();
    this->Register();
  }
  void Register() {
    ++this->sequence;
    this->platform.Put(
        "keyed.servers", this->id,
        R"({"service": ")" + this->service + R"(", "address": ")" +
            Endpoint(this->server.port) + R"(", "zone": ")" + this->zone +
            R"(", "version": "1", "slots": )" + std::to_string(this->slots) +
            R"(, "state": "ready",)" +
            R"( "cold_remaining_ms": 0, "models": [], "born": 1700000000000,)" +
            R"( "sequence": )" + std::to_string(this->sequence) + "}");
  }
  void Close() { this->server.Close(); }

 private:
  /// A request waits for a free slot and occupies it.
  class Slot {
   public:
    explicit Slot(Runner& runner) : runner(runner) {
      std::unique_lock lock(runner.slot_mutex);
      ++runner.waiting;
      runner.slot_freed.wait(lock,
                             [&] { return runner.running < runner.slots; });
      --runner.waiting;
      ++runner.running;
    }
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;
    ~Slot() {
      const std::lock_guard lock(this->runner.slot_mutex);
      --this->runner.running;
      this->runner.slot_freed.notify_one();
    }

   private:
    Runner& runner;
  };

  std::string Load() {
    const std::lock_guard lock(this->slot_mutex);
    return std::to_string(this->running) + "," + std::to_string(this->waiting) +
           "," + std::to_string(this->slots);
  }

  bool Answer(const Message& request, Connection& connection) {
    const std::string request_id = request.Header("request-id");
    if (request.Path() == "/report") {
      return connection.Write(Format("HTTP/1.1 200 OK", {},
                                     R"({"stage": "both", "models": [],)"
                                     R"( "busy": false, "sequence": 0,)"
                                     R"( "born": 1700000000000})"));
    }
    if (request.Header("expect-instance") != this->id) {
      return connection.Write(Format("HTTP/1.1 421 Misdirected Request",
                                     {{"Not-Executed", "1"},
                                      {"Request-Id", request_id},
                                      {"Instance-Id", this->id}},
                                     ""));
    }
    const bool is_trouble = this->state.options.has_trouble &&
                            this->state.record.Now() > kTroubleStartMs;
    const bool is_spoiled =
        this->is_faulty && is_trouble && !this->has_spoiled.exchange(true);
    const bool is_plain = this->service == "balcao";
    const Slot slot(*this);
    if (is_plain) {
      const std::lock_guard lock(this->state.mutex);
      this->state.run_at_counter.insert(request_id);
    }
    this->state.record.Write("run " + request_id + " by " + this->id);
    if (is_plain) {
      Sleep(kMinWorkMs + std::rand() % (kMaxWorkMs - kMinWorkMs));
      return connection.Write(Format("HTTP/1.1 200 OK",
                                     {{"Keep-Alive", "timeout=5"},
                                      {"Instance-Load", this->Load()},
                                      {"Server-Stamp", "stamp." + this->id},
                                      {"Request-Id", request_id}},
                                     "reserved for " + request_id));
    }
    const bool has_begun = connection.Write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n"
        "Instance-Load: " +
        this->Load() + "\r\nServer-Stamp: stamp." + this->id +
        "\r\nRequest-Id: " + request_id + "\r\n\r\n");
    if (is_spoiled) {
      this->Spoil(request_id, connection);
      return false;
    }
    return has_begun && this->WriteEvents(connection);
  }

  bool WriteEvents(Connection& connection) {
    for (int i = 1; i <= kEventCount; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: word " +
                                std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!connection.Write(size + event + "\r\n")) {
        return false;
      }
      Sleep(kEventIntervalMs);
    }
    return connection.Write("0\r\n\r\n");
  }

  // Writes bytes without an end until the other side closes.
  void Spoil(const std::string& request_id, Connection& connection) {
    ++this->state.spoiled;
    this->state.record.Write("spoiled answer begins: " + request_id + " by " +
                             this->id);
    const std::string bytes(static_cast<std::size_t>(kSpoiledBytesPerMs) * 5,
                            'x');
    const auto start = Clock::now();
    std::int64_t total = 0;
    while (connection.Write(bytes) && !this->state.is_over) {
      total += static_cast<std::int64_t>(bytes.size());
      std::this_thread::sleep_until(start +
                                    milliseconds(total / kSpoiledBytesPerMs));
    }
    this->state.record.Write("spoiled answer ends after " +
                             std::to_string(total / 1'000'000) +
                             " MB: " + request_id);
  }

  State& state;
  Platform& platform;
  const std::string id;
  const std::string zone;
  const std::string service;
  const int slots;
  const bool is_faulty;
  std::atomic<bool> has_spoiled = false;
  std::mutex slot_mutex;
  std::condition_variable slot_freed;
  int running = 0;
  int waiting = 0;
  std::atomic<int> sequence = 0;
  Server server;
};

// Sends one request after the other on a kept connection.
void RunClient(State& state,
               int port,
               const std::string& name,
               const std::string& path) {
  int number = 0;
  while (!state.is_over) {
    const auto connection = Connection::Open(port);
    if (connection == nullptr) {
      Sleep(100);
      continue;
    }
    int answered = 0;
    bool is_kept = true;
    while (is_kept && !state.is_over) {
      const std::string id = name + "-" + std::to_string(++number);
      const std::size_t received = connection->received;
      const bool is_sent = connection->Write(
          Format("POST " + path + " HTTP/1.1",
                 {{"Host", "provador.example"},
                  {"Request-Id", id},
                  {"Deadline-Ms", path == "/chat/live" ? "10000" : "4000"},
                  {"Authorization", "Bearer review-key-0001"}},
                 "How do they fit, " + id + "?"));
      const auto answer =
          is_sent ? ReadMessage(*connection, 11'000) : std::nullopt;
      is_kept = answer && answer->Header("connection") != "close";
      if (answer) {
        ++answered;
        state.served += answer->Status() == 200 ? 1 : 0;
        state.record.Write("answered " + id + " " +
                           std::to_string(answer->Status()));
        continue;
      }
      const std::lock_guard lock(state.mutex);
      // No byte of an answer has arrived.
      const bool counts = answered > 0 && !connection->is_open &&
                          connection->received == received &&
                          state.run_at_counter.contains(id) && !state.is_over;
      state.lost += counts ? 1 : 0;
      state.record.Write(
          "closed without an answer: " + id +
          (counts ? ", which a sound runner ran, on a kept connection" : ""));
    }
  }
}

int Run(const CaseOptions& options) {
  State state(options);
  Platform platform(options.folder, kHostCount, kRunnerCount);
  platform.Put("keyed.op", "config", kConfiguration);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunnerCount; ++i) {
    runners.push_back(std::make_unique<Runner>(state, platform, i));
    runners.back()->Start();
  }
  const auto zone = [](int host) {
    return "recife-" + std::string(1, static_cast<char>('a' + host));
  };
  for (int i = 0; i < kHostCount; ++i) {
    platform.StartHost(i, zone(i), true);
  }
  for (int i = 0; i < kHostCount; ++i) {
    platform.WaitUntilReady(i);
  }
  state.record.Write("hosts are ready");
  std::vector<std::thread> clients;
  clients.reserve(std::size_t{kHostCount} * kClientsPerHost);
  for (int i = 0; i < kHostCount * kClientsPerHost; ++i) {
    clients.emplace_back([&state, &platform, i] {
      RunClient(state, platform.caller_port(i % kHostCount),
                "c" + std::to_string(i),
                i / kHostCount < kChatClientsPerHost ? "/chat/live"
                                                     : "/reservations/pair");
    });
  }
  std::vector<double> peak_mb(kHostCount);
  std::vector<std::int64_t> restart_at(kHostCount);
  std::int64_t heartbeat_at = 0;
  while (state.record.Now() < kEndMs) {
    for (int i = 0; i < kHostCount; ++i) {
      const auto index = static_cast<std::size_t>(i);
      const double mb = platform.host(i).ResidentMb();
      peak_mb[index] = std::max(peak_mb[index], mb);
      if (mb > kMemoryMb) {
        state.record.Write("host " + std::to_string(i) + " holds " +
                           std::to_string(mb) + " MB and is killed");
        platform.host(i).Kill();
        ++state.killed;
        restart_at[index] = state.record.Now() + kRestartMs;
      }
      if (restart_at[index] != 0 && state.record.Now() >= restart_at[index]) {
        restart_at[index] = 0;
        platform.StartHost(i, zone(i), false);
      }
    }
    if (state.record.Now() >= heartbeat_at) {
      heartbeat_at = state.record.Now() + kHeartbeatMs;
      for (const auto& runner : runners) {
        runner->Register();
      }
    }
    Sleep(10);
  }
  state.is_over = true;
  for (int i = 0; i < kHostCount; ++i) {
    state.record.Write("host " + std::to_string(i) + ": at most " +
                       std::to_string(peak_mb[static_cast<std::size_t>(i)]) +
                       " MB");
  }
  for (const auto& runner : runners) {
    runner->Close();
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (state.served == 0) {
    Fail("no request was served");
  }
  const bool is_broken = state.lost > kAllowedLosses;
  const std::string result =
      "served " + std::to_string(state.served) + ", spoiled " +
      std::to_string(state.spoiled) + ", hosts killed for their memory " +
      std::to_string(state.killed) +
      ", reservations on kept connections that sound runners "
      "ran and that got no answer " +
      std::to_string(state.lost) + (is_broken ? ": LOST is broken" : ": held");
  state.record.Write(result);
  std::cout << result << "\n";
  return is_broken ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Run(review::ReadCaseOptions(argc, argv));
}
