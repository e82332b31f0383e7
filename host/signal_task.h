#ifndef CICADALOFT_HOST_SIGNAL_TASK_H_
#define CICADALOFT_HOST_SIGNAL_TASK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <string>

#include "cicadaloft/core/mailbox.h"

namespace cicadaloft {

/// SIGTERM or SIGINT was received.
struct StopRequested {};
/// Closed by the stop request, so that whoever looks later learns of it too.
using StopSignal = Mailbox<StopRequested>;

/// @return whether the stop has been requested.
inline bool IsStopRequested(StopSignal& stop) {
  return !stop.channel().is_open();
}

/// Owns the signals of the process. Constructed first thing in main: a signal
/// from then on ends no process and is kept until Run() handles it. Before that
/// only the mask that the process inherits can cover it: a supervisor that
/// starts it with SIGTERM, SIGINT and SIGHUP blocked loses none, since the
/// constructor takes them from the mask once they are handled.
class SignalTask {
 public:
  explicit SignalTask(boost::asio::io_context& context);

  /// Handles signals until the process ends. The first SIGTERM or SIGINT
  /// requests the stop; later ones are ignored. SIGHUP checks the settings file
  /// again.
  /// @param settings_path of the settings file.
  boost::asio::awaitable<void> Run(std::string settings_path);

  const std::shared_ptr<StopSignal>& stop() const { return this->stop_signal; }

 private:
  void Handle(int number, const std::string& settings_path);

  const std::shared_ptr<StopSignal> stop_signal;
  boost::asio::signal_set signals;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_SIGNAL_TASK_H_
