#ifndef CICADALOFT_TESTS_SOAK_CALLERS_H_
#define CICADALOFT_TESTS_SOAK_CALLERS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "balancer.h"
#include "records.h"

namespace cicadaloft::soak {

/// The callers of one data centre: an open loop of requests on kept
/// connections, which are used until the process is gone or says close.
class Callers {
 public:
  using OnCall = std::function<void(Call)>;

  struct Settings {
    std::string data_centre;
    std::string id_prefix;
    double rate_per_second = 0;
    std::uint64_t seed = 0;

    bool operator==(const Settings&) const = default;
  };

  /// @param on_call Called with the record of each request that has ended.
  Callers(boost::asio::io_context& context,
          Settings settings,
          Balancer& balancer,
          OnCall on_call);

  /// Sends requests until Stop() and returns when all of them have ended.
  boost::asio::awaitable<void> Run();

  void Stop() { this->is_stopping = true; }

 private:
  struct Connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    int host = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Plan {
    std::string route;
    std::string method;
    std::string model;  ///< Empty on plain routes.
    long prompt_tokens = 0;
    long output_tokens = 0;
    std::string body;
    Millis deadline = 0;
    bool may_run_twice = false;
    Millis pause = 0;  ///< Between the two parts in which it is sent.
  };

  Plan MakePlan();
  boost::asio::awaitable<void> Request(Plan plan, std::string id);
  boost::asio::awaitable<ConnectionPtr> Connect(Call& call);
  ConnectionPtr TakeIdle(Call& call);
  boost::asio::awaitable<bool> Send(Connection& connection,
                                    const Plan& plan,
                                    Call& call);
  boost::asio::awaitable<bool> Receive(Connection& connection,
                                       const Plan& plan,
                                       Call& call);

  boost::asio::io_context& context;
  Settings settings;
  Balancer& balancer;
  OnCall on_call;
  std::mt19937_64 random;
  std::vector<ConnectionPtr> idle;
  int open_requests = 0;
  bool is_stopping = false;
};

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_CALLERS_H_
