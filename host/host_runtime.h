#ifndef CICADALOFT_HOST_HOST_RUNTIME_H_
#define CICADALOFT_HOST_HOST_RUNTIME_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "cicadaloft/telemetry/output_buffer.h"
#include "host_listeners.h"
#include "host_settings.h"

namespace cicadaloft {

/// Runs all tasks of one host on one thread.
class HostRuntime {
 public:
  /// Starts the host's tasks.
  /// @param listeners open; the runtime accepts connections from now on.
  /// @param output what a stop flushes.
  static std::unique_ptr<HostRuntime> Start(
      boost::asio::io_context& context,
      const HostSettings& settings,
      HostListeners listeners,
      std::shared_ptr<OutputBuffer> output);
  ~HostRuntime();

  /// Stops accepting requests and finishes the open ones.
  /// Completes when no request is open, or the stop time is over.
  boost::asio::awaitable<void> Stop();

 private:
  class Tasks;
  explicit HostRuntime(std::shared_ptr<Tasks> tasks);

  std::shared_ptr<Tasks> tasks;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_HOST_RUNTIME_H_
