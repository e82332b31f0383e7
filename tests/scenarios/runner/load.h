#ifndef CICADALOFT_TESTS_SCENARIOS_RUNNER_LOAD_H_
#define CICADALOFT_TESTS_SCENARIOS_RUNNER_LOAD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cicadaloft/tickets/messages.h"
#include "scenarios/runner/script.h"
#include "scenarios/runner/world.h"

namespace cicadaloft::scenarios {

/// What one `load` line asks for.
struct LoadPlan {
  CustomerId customer;
  KeyId key;
  std::vector<std::string> models;  ///< Chosen by popularity, first most.
  std::string service;              ///< Instead of models.
  std::string method = "POST";
  double rate = 1;  ///< Requests a second.
  double skew = 1;  ///< Exponent of the models' popularity.
  Duration length{};
  Duration timeout = std::chrono::seconds(10);
  Duration work = std::chrono::milliseconds(200);
  RequestClass request_class = RequestClass::kInteractive;
  std::set<HostId> hosts;
  bool is_idempotent = true;
  bool with_key = false;  ///< Sends an Idempotency-Key.
  bool is_poison = false;
  int resends = 0;
  double cost_tokens = 100;
};

/// The customer's own rate, seen from outside, to tell wrongful refusals.
class IdealBucket {
 public:
  IdealBucket(double rate, double burst, TimePoint now)
      : rate(rate), burst(burst), level(burst), since(now) {}

  /// @return whether a request now is inside the rate; if so it counts.
  bool Take(TimePoint now);

 private:
  double rate;
  double burst;
  double level;
  TimePoint since;
};

/// Sends requests by plan, open loop, and sends refused ones again.
class LoadGenerator {
 public:
  explicit LoadGenerator(World& world);

  void SetCustomer(const Customer& customer);
  void Begin(const LoadPlan& plan);

 private:
  struct Resend {
    LoadPlan plan;
    std::string idempotency_key;
    int left;
  };

  void SendNext(const std::shared_ptr<const LoadPlan>& plan, TimePoint end);
  void SendOne(const LoadPlan& plan,
               const std::string& idempotency_key,
               int resends_left);
  void OnEnded(const SentRequest& request);
  Call MakeCall(const LoadPlan& plan);

  World& world;
  std::map<CustomerId, IdealBucket> buckets;
  std::map<RequestId, Resend> resends;
  std::uint64_t next_request = 1;
};

}  // namespace cicadaloft::scenarios

#endif  // CICADALOFT_TESTS_SCENARIOS_RUNNER_LOAD_H_
