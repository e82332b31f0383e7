#ifndef CICADALOFT_TESTS_SOAK_DIRECTOR_H_
#define CICADALOFT_TESTS_SOAK_DIRECTOR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

#include "balancer.h"
#include "deployment.h"
#include "hosts.h"
#include "processes.h"
#include "schedule.h"

namespace cicadaloft::soak {

/// Starts the deployment and carries out the schedule. The place for faults of
/// links: a fault proxy is one more process, whose address takes the place of
/// the store's or a runner's.
class Director {
 public:
  Director(boost::asio::io_context& context,
           Processes& processes,
           const Deployment& deployment,
           Hosts& hosts,
           Balancer& balancer);

  /// Starts the store, the runners and `hosts` hosts, and writes the
  /// configuration.
  boost::asio::awaitable<void> StartAll(int hosts);

  /// Carries out the schedule; returns once its last fault has ended.
  boost::asio::awaitable<void> Run(std::vector<Fault> schedule);

  const std::vector<Span>& spans() const { return this->all_spans; }

 private:
  boost::asio::awaitable<void> CarryOut(Fault fault);
  boost::asio::awaitable<void> CarryOutOnHost(Fault fault);
  boost::asio::awaitable<void> RestartThen(Fault fault);
  boost::asio::awaitable<void> CarryOutOnStore(Fault fault);
  boost::asio::awaitable<void> CarryOutOnRunner(Fault fault);
  boost::asio::awaitable<void> Configure();
  void StartRunner(int runner, bool is_first);
  void AddSpan(SpanKind kind, int index, Millis length);

  boost::asio::io_context& context;
  Processes& processes;
  const Deployment& deployment;
  Hosts& hosts;
  Balancer& balancer;
  std::vector<int> runner_pids;
  std::vector<Span> all_spans;
  int version = 0;
  int open_faults = 0;
};

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_DIRECTOR_H_
