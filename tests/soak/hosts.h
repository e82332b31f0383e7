#ifndef CICADALOFT_TESTS_SOAK_HOSTS_H_
#define CICADALOFT_TESTS_SOAK_HOSTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

#include "deployment.h"
#include "processes.h"
#include "records.h"

namespace cicadaloft::soak {

/// Starts the hosts, restarts each that ends, and does to them what the
/// schedule asks. Keeps the records of their lives and disturbances.
class Hosts {
 public:
  Hosts(boost::asio::io_context& context,
        Processes& processes,
        const Deployment& deployment);

  /// Starts a host, and restarts it whenever it ends.
  void Start(int host);

  /// Notes that a host's readiness probe was answered with 200.
  void NoteReady(int host);

  /// Sends SIGTERM; the host is restarted `pause` after its end.
  void Stop(int host, Millis pause);
  /// Sends SIGKILL; the host is restarted `pause` after its end.
  void Kill(int host, Millis pause);
  /// Freezes a host for a time.
  boost::asio::awaitable<void> Freeze(int host, Millis time);
  /// Gives a host a quarter of the processor for a time.
  boost::asio::awaitable<void> Slow(int host, Millis time);
  /// Sends SIGHUP while the settings file is written, which takes `time`.
  boost::asio::awaitable<void> Reload(int host, Millis time);
  /// Waits until a host has been started again, at most some seconds.
  /// @return whether it was.
  boost::asio::awaitable<bool> AwaitRestart(int host);

  /// Stops all hosts with SIGTERM at once and waits for their ends.
  boost::asio::awaitable<void> StopAll();

  /// Records the memory that each live host has held, and appends the ms for
  /// which it has run and waited for a processor to usage.txt. A host that
  /// waited and got less than its share since the last call has starved.
  void Measure();

  const std::vector<Life>& lives() const { return this->all_lives; }
  const std::vector<Span>& spans() const { return this->all_spans; }

 private:
  struct Usage {
    int pid = 0;
    Millis at = 0;
    Millis ran = 0;
    Millis waited = 0;
  };

  struct State {
    int pid = 0;
    std::size_t life = 0;  ///< Index of its record.
    int starts = 0;
    int freezes = 0;  ///< Freezes that go on.
    Millis restart_delay = 0;
    Usage usage;
  };

  boost::asio::awaitable<void> Supervise(int host);
  boost::asio::awaitable<void> KillAfterGrace(int pid);
  State& At(int host) {
    return this->states.at(static_cast<std::size_t>(host));
  }
  Life& LifeOf(int host) { return this->all_lives.at(this->At(host).life); }
  std::size_t Open(SpanKind kind, int host);
  void NoteUsage(State& state, int host, const Usage& now);
  void Close(std::size_t span) { this->all_spans.at(span).to = Now(); }

  boost::asio::io_context& context;
  Processes& processes;
  const Deployment& deployment;
  std::vector<State> states;
  std::vector<Life> all_lives;
  std::vector<Span> all_spans;
  bool is_ending = false;
};

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_HOSTS_H_
