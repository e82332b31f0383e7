#ifndef CICADALOFT_TESTS_SOAK_BALANCER_H_
#define CICADALOFT_TESTS_SOAK_BALANCER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "deployment.h"

namespace cicadaloft::soak {

/// Chooses a host for each new connection as the platform does: hosts that
/// miss two readiness probes in a row get none, unless fewer than half of
/// their data centre's hosts would be left.
class Balancer {
 public:
  using OnReady = std::function<void(int host)>;

  /// @param on_ready Called for each probe that was answered with 200.
  Balancer(const std::vector<HostPlace>& hosts, OnReady on_ready);

  /// Starts to probe a host, from now on.
  void Add(boost::asio::io_context& context, int host);

  /// @return the host for a new connection, or nullptr if there is none.
  const HostPlace* Pick(const std::string& data_centre, std::uint64_t random);

 private:
  struct State {
    bool is_added = false;
    int misses = 2;
  };

  boost::asio::awaitable<void> Probe(int host);
  std::vector<const HostPlace*> Candidates(const std::string& data_centre);

  const std::vector<HostPlace>& hosts;
  OnReady on_ready;
  std::vector<State> states;
};

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_BALANCER_H_
