#ifndef CICADALOFT_TESTS_SOAK_PROCESSES_H_
#define CICADALOFT_TESTS_SOAK_PROCESSES_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "records.h"

namespace cicadaloft::soak {

/// @return the time of the steady clock.
Millis Now();

/// Waits; @return whether the time has passed without a cancellation.
boost::asio::awaitable<bool> Sleep(Millis time);

struct Command {
  std::vector<std::string> words;
  std::string log;          ///< File that standard output and error append to.
  int max_descriptors = 0;  ///< 0: not limited.
  /// Whether it starts with the signals of a stop and a reload blocked, until
  /// it handles them.
  bool blocks_signals = false;

  bool operator==(const Command&) const = default;
};

/// How a process ended.
struct End {
  Millis at = 0;
  int signal = 0;
  int code = 0;

  bool operator==(const End&) const = default;
};

/// Owns the child processes. Ends only these, by pid.
class Processes {
 public:
  explicit Processes(boost::asio::io_context& context);
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  /// Starts a process, which is killed when this program ends in any way.
  /// @return its pid.
  int Start(const Command& command);

  /// Sends a signal if the process is alive.
  void Signal(int pid, int number);

  bool IsAlive(int pid) const;

  /// Waits for the end of a process.
  boost::asio::awaitable<End> AwaitEnd(int pid);

  /// @return the most memory that was resident, in MB, or 0 if unknown.
  static int PeakMemoryMb(int pid);

  /// @return the ms that a process has run and waited for a processor.
  static std::pair<Millis, Millis> ProcessorTimes(int pid);

 private:
  struct Child {
    std::unique_ptr<boost::asio::steady_timer>
        ended;  ///< Cancelled at the end.
    bool is_alive = true;
    End end;
  };

  boost::asio::awaitable<void> Reap();
  void Collect();

  boost::asio::io_context& context;
  boost::asio::signal_set child_signals;
  std::map<int, Child> children;
};

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_PROCESSES_H_
