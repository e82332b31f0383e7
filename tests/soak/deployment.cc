#include "deployment.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cicadaloft::soak {
namespace {

using nlohmann::json;

// The limits of the deployment.
constexpr int kMaxDescriptors = 4200;
constexpr double kCores = 0.25;
constexpr double kRunnerMb = 160000;
constexpr double kModelMb = 65100;

constexpr int kDroppingRunners = 2;
constexpr const char* kDropAfterMs = "1500";

constexpr int kStorePort = 8225;
constexpr int kRunnerPort = 8301;
constexpr int kListenPort = 8221;
constexpr int kReadyPort = 8224;
constexpr int kAdminPort = 7600;
constexpr int kPeerPort = 7601;
constexpr int kForwardPort = 7602;

constexpr std::array kDataCentres{"norte-a", "norte-b", "norte-c"};
// The data centre of each host, then of the spares.
constexpr std::array kHostCentres{0, 0, 0, 1, 1, 2, 0, 1, 2};

std::string ModelName(int index) {
  return "m" + std::to_string(index % kModels);
}

// Claims a loopback network for this process, until it ends.
bool Claim(const std::string& ip) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kStorePort);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  const bool is_free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) == 0 &&
      listen(descriptor, 1) == 0;
  if (!is_free) {
    close(descriptor);
  }
  return is_free;
}

json Route(const std::string& name,
           const std::string& kind,
           const std::string& service,
           int timeout_ms,
           int priority) {
  return {{"name", name},
          {"hostname", "soak.example"},
          {"path_prefix", "/" + name + "/"},
          {"route_kind", kind},
          {"timeout_ms", timeout_ms},
          {"target_latency_ms", 300},
          {"priority", priority},
          {"service", service},
          {"max_attempts", 1},
          {"gap_aim_ms", 200}};
}

}  // namespace

Deployment::Deployment(Paths paths, int hosts, int spares, int runners)
    : all_paths(std::move(paths)) {
  constexpr int kFirstNetwork = 77;
  constexpr int kLastNetwork = 120;
  constexpr int kClaim = 2;
  constexpr int kFirstRunner = 20;
  constexpr int kFirstHost = 200;
  this->network = kFirstNetwork;
  while (!Claim(this->Ip(kClaim))) {
    if (++this->network > kLastNetwork) {
      throw std::runtime_error("no free loopback network");
    }
  }
  for (int i = 0; i < hosts + spares; ++i) {
    const std::string ip = this->Ip(kFirstHost + i);
    const auto centre = static_cast<std::size_t>(i) % kHostCentres.size();
    this->host_places.push_back(
        {.index = i,
         .data_centre =
             kDataCentres.at(static_cast<std::size_t>(kHostCentres.at(centre))),
         .listen = {ip, kListenPort},
         .ready = {ip, kReadyPort}});
  }
  // One runner in seven belongs to the plain service.
  constexpr int kPlainShare = 7;
  for (int i = 0; i < runners; ++i) {
    const bool is_plain = i % kPlainShare == 0;
    this->runner_places.push_back(
        {.index = i,
         .id = (is_plain ? "registro-" : "redactor-") + std::to_string(i),
         .service = is_plain ? "registro" : "redactor",
         .data_centre = kDataCentres.at(
             static_cast<std::size_t>((is_plain ? i / kPlainShare : i) % 3)),
         .listen = {this->Ip(kFirstRunner + i), kRunnerPort}});
  }
}

std::string Deployment::Ip(int last) const {
  return "127." + std::to_string(this->network) + ".0." + std::to_string(last);
}

Address Deployment::store() const {
  return {this->Ip(1), kStorePort};
}

Command Deployment::StoreCommand() const {
  return {.words = {this->all_paths.build + "/tests/fake_store", "--listen",
                    this->store().Text()},
          .log = this->all_paths.logs + "/store.log"};
}

Command Deployment::RunnerCommand(const RunnerPlace& runner,
                                  bool is_first) const {
  const bool is_plain = runner.service == "registro";
  const std::string models =
      ModelName(runner.index) + "," + ModelName(runner.index + 1);
  std::vector<std::string> words{this->all_paths.build + "/tests/fake_runner",
                                 "--listen",
                                 runner.listen.Text(),
                                 "--id",
                                 runner.id,
                                 "--service",
                                 runner.service,
                                 "--zone",
                                 runner.data_centre,
                                 "--store",
                                 this->store().Text(),
                                 "--runs",
                                 this->RunsPath(runner),
                                 "--orders",
                                 this->OrdersPath(runner),
                                 "--load-ms",
                                 "760",
                                 "--event-ms",
                                 "40",
                                 "--event-tokens",
                                 "7",
                                 "--work-ms",
                                 "60",
                                 "--slots",
                                 is_plain ? "6" : "48"};
  // Some runners lose each model soon after its load, so that orders never end.
  const bool is_dropping = !is_plain && runner.index <= kDroppingRunners;
  if (is_dropping) {
    words.insert(words.end(), {"--drop-after-ms", kDropAfterMs});
  }
  // Runners restart without models, but keep their disk.
  if (!is_plain && is_first && !is_dropping) {
    words.insert(words.end(), {"--models", models});
  }
  if (!is_plain) {
    words.insert(words.end(), {"--disk", models});
  }
  return {.words = words,
          .log = this->all_paths.logs + "/" + runner.id + ".log"};
}

Command Deployment::HostCommand(const HostPlace& host) const {
  return {.words = {this->all_paths.host_program, "--settings",
                    this->SettingsPath(host)},
          .log = this->all_paths.logs + "/host-" + std::to_string(host.index) +
                 ".log",
          .max_descriptors = kMaxDescriptors,
          .blocks_signals = !this->all_paths.starts_plainly};
}

std::string Deployment::SettingsPath(const HostPlace& host) const {
  return this->all_paths.logs + "/host-" + std::to_string(host.index) + ".json";
}

std::string Deployment::Settings(const HostPlace& host, bool is_first) const {
  constexpr int kIndent = 1;
  return json{{"host", "host-" + std::to_string(host.index)},
              {"data_centre", host.data_centre},
              {"listen", host.listen.Text()},
              {"ready_listen", host.ready.Text()},
              {"admin_listen", Address{host.listen.ip, kAdminPort}.Text()},
              {"peer_listen", Address{host.listen.ip, kPeerPort}.Text()},
              {"forward_listen", Address{host.listen.ip, kForwardPort}.Text()},
              {"store", this->store().Text()},
              {"first_start", is_first},
              {"cores", kCores},
              {"stop_time", "8s"},
              {"retry_ratio", 0.2},
              {"retry_slack", 52},
              {"limit_overshoot", 0.1},
              {"limit_slack", 7400},
              {"limit_window", "8s"},
              {"drain_time", "2000ms"},
              {"holder_gap", "3000ms"}}
      .dump(kIndent);
}

std::string Deployment::RunsPath(const RunnerPlace& runner) const {
  return this->all_paths.logs + "/" + runner.id + ".runs";
}

std::string Deployment::OrdersPath(const RunnerPlace& runner) const {
  return this->all_paths.logs + "/" + runner.id + ".orders";
}

std::string ConfigurationRecord(int version) {
  json models = json::array();
  for (int i = 0; i < kModels; ++i) {
    models.push_back({{"name", ModelName(i)},
                      {"weights_mb", kModelMb},
                      {"load_time_s", 6.0},
                      {"adapters", 0},
                      {"adapter_size_mb", 12},
                      {"warmup_s", 0.38},
                      {"disk_s", 0.76}});
  }
  json dossier = Route("dossier", "streaming", "redactor", 20000, 2);
  dossier["resumable"] = true;
  dossier["max_attempts"] = 2;
  json lookup = Route("lookup", "idempotent", "registro", 4000, 2);
  lookup["max_attempts"] = 2;
  return json{
      {"version", version},
      {"routes",
       {Route("draft", "streaming", "redactor", 10000, 1), dossier,
        Route("reply", "streaming", "redactor", 3000, 0),
        Route("reserve", "non_idempotent", "registro", 4000, 2), lookup}},
      {"services",
       {{{"name", "redactor"},
         {"max_connections", 290},
         {"cold_per_s", 28},
         {"engine",
          {{"weights_mb", kRunnerMb},
           {"adapter_slots", 8},
           {"loads_per_s", 5.8},
           {"models", models}}}},
        {{"name", "registro"}, {"max_connections", 96}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       {{{"name", "oficina"},
         {"api_keys", {"soak-key"}},
         {"priority", 1},
         {"unit", "tokens"},
         {"plain_tokens", 200},
         {"rate_per_s", 10000000},
         {"burst", 10000000}}}}}
      .dump();
}

std::vector<Run> ReadRuns(const std::string& path, int runner) {
  std::vector<Run> runs;
  std::ifstream file(path);
  Run run{.runner = runner};
  while (file >> run.at >> run.id) {
    runs.push_back(run);
  }
  return runs;
}

std::vector<Order> ReadOrders(const std::string& path, int runner) {
  std::vector<Order> orders;
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    const json order = json::parse(line, nullptr, false);
    // The last line is incomplete if the runner was killed meanwhile.
    if (order.is_object() && order.contains("fencing_token")) {
      orders.push_back({.runner = runner,
                        .at = order.at("at_ms"),
                        .holder = order.at("holder"),
                        .token = order.at("fencing_token")});
    }
  }
  return orders;
}

}  // namespace cicadaloft::soak
