#ifndef CICADALOFT_TESTS_SOAK_DEPLOYMENT_H_
#define CICADALOFT_TESTS_SOAK_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "http_call.h"
#include "processes.h"

namespace cicadaloft::soak {

/// Where the programs are and where they log.
struct Paths {
  std::string build;
  std::string host_program;
  bool starts_plainly = false;  ///< Hosts start with no signal blocked.
  std::string logs;

  bool operator==(const Paths&) const = default;
};

struct HostPlace {
  int index = 0;
  std::string data_centre;
  Address listen;
  Address ready;

  bool operator==(const HostPlace&) const = default;
};

struct RunnerPlace {
  int index = 0;
  std::string id;
  std::string service;
  std::string data_centre;
  Address listen;

  bool operator==(const RunnerPlace&) const = default;
};

/// The shape of the deployment redagraria-central at loopback addresses of
/// its own: a store, runners of a service with models and of a plain service,
/// hosts in three data centres and spares. Each process has an address of its
/// own, as on machines of their own.
class Deployment {
 public:
  Deployment(Paths paths, int hosts, int spares, int runners);

  const std::vector<HostPlace>& hosts() const { return this->host_places; }
  const std::vector<RunnerPlace>& runners() const {
    return this->runner_places;
  }
  const Paths& paths() const { return this->all_paths; }
  Address store() const;

  Command StoreCommand() const;
  Command RunnerCommand(const RunnerPlace& runner, bool is_first) const;
  Command HostCommand(const HostPlace& host) const;
  std::string SettingsPath(const HostPlace& host) const;
  std::string Settings(const HostPlace& host, bool is_first) const;
  /// File to which the runner appends each request that it executes.
  std::string RunsPath(const RunnerPlace& runner) const;
  /// File to which the runner appends each order that it gets.
  std::string OrdersPath(const RunnerPlace& runner) const;

 private:
  std::string Ip(int last) const;

  Paths all_paths;
  int network = 0;
  std::vector<HostPlace> host_places;
  std::vector<RunnerPlace> runner_places;
};

constexpr int kModels = 8;

/// @return the configuration's record in the store.
std::string ConfigurationRecord(int version);

/// @return the executions in a runner's file.
std::vector<Run> ReadRuns(const std::string& path, int runner);

/// @return the orders in a runner's file.
std::vector<Order> ReadOrders(const std::string& path, int runner);

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_DEPLOYMENT_H_
