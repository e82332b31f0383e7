#ifndef CICADALOFT_TESTS_STAND_INS_RUNNER_MODELS_H_
#define CICADALOFT_TESTS_STAND_INS_RUNNER_MODELS_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http_server.h"

namespace cicadaloft::stand_ins {

/// @return the time of the steady clock in ms, which all processes of a
/// machine share.
inline std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// The models of a fake runner, and the orders that change them.
class RunnerModels {
 public:
  using Clock = std::chrono::steady_clock;

  RunnerModels(const std::vector<std::string>& models,
               std::chrono::milliseconds load_time,
               const std::string& orders_file)
      : load_time(load_time), loaded(models.begin(), models.end()) {
    if (!orders_file.empty()) {
      this->orders.open(orders_file, std::ios::app);
    }
  }

  /// @param path "MODEL" or "MODEL/ADAPTER".
  bool Has(const std::string& path) const {
    return this->loaded.contains(path);
  }
  bool IsLoading(const std::string& path) const {
    return this->IsBusy() && path == this->loading;
  }
  bool IsBusy() const { return Clock::now() < this->busy_until; }
  /// @return the number of orders that changed the state.
  std::uint64_t sequence() const { return this->order_count; }
  /// @return the number of models whose load has been ordered.
  std::uint64_t load_count() const { return this->loads; }

  /// The state of a process that has just started.
  void Clear() {
    this->loaded.clear();
    this->loading.clear();
    this->busy_until = {};
    this->order_count = 0;
  }

  /// @return the models of the registry record.
  nlohmann::json Record() const {
    std::map<std::string, nlohmann::json> models;
    for (const std::string& path : this->loaded) {
      const std::size_t slash = path.find('/');
      nlohmann::json& model = models[path.substr(0, slash)];
      model["name"] = path.substr(0, slash);
      model["version"] = 1;
      if (!model.contains("adapters")) {
        model["adapters"] = nlohmann::json::array();
      }
      if (slash != std::string::npos) {
        model["adapters"].push_back(path.substr(slash + 1));
      }
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, model] : models) {
      list.push_back(model);
    }
    return list;
  }

  /// Executes an order and writes it down.
  Response Execute(const std::string& body) {
    const nlohmann::json order = nlohmann::json::parse(body, nullptr, false);
    Response response = this->Execute(order);
    if (this->orders.is_open()) {
      nlohmann::json line =
          order.is_object() ? order : nlohmann::json::object();
      line["at_ms"] = SteadyMs();
      line["status"] = response.result_int();
      this->orders << line.dump() << std::endl;
    }
    return response;
  }

 private:
  Response Execute(const nlohmann::json& order) {
    if (!order.is_object() || !order.contains("holder") ||
        !order.contains("fencing_token")) {
      return MakeResponse(400);
    }
    const bool has_conflict =
        this->IsBusy() ||
        order.value("expect", this->order_count) != this->order_count;
    if (has_conflict) {
      return MakeResponse(409);
    }
    const std::string model = order["model"];
    const std::string adapter = order.value("adapter", "");
    const std::string path = adapter.empty() ? model : model + "/" + adapter;
    const bool is_load = order["operation"] == "load";
    if (is_load == this->loaded.contains(path)) {
      return MakeResponse(200);
    }
    ++this->order_count;
    if (!is_load) {
      std::erase_if(this->loaded, [&](const std::string& item) {
        return item == path || item.starts_with(path + "/");
      });
      return MakeResponse(adapter.empty() ? 202 : 200);
    }
    this->loaded.insert(path);
    if (adapter.empty()) {
      ++this->loads;
      this->busy_until = Clock::now() + this->load_time;
      this->loading = path;
    }
    return MakeResponse(202);
  }

  const std::chrono::milliseconds load_time;
  std::set<std::string> loaded;  ///< "MODEL" and "MODEL/ADAPTER".
  std::uint64_t order_count = 0;
  std::uint64_t loads = 0;
  Clock::time_point busy_until{};
  std::string loading;
  std::ofstream orders;
};

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_TESTS_STAND_INS_RUNNER_MODELS_H_
