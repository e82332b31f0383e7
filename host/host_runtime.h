#ifndef CICADALOFT_HOST_HOST_RUNTIME_H_
#define CICADALOFT_HOST_HOST_RUNTIME_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "cicadaloft/core/result.h"
#include "cicadaloft/telemetry/output_buffer.h"
#include "host_settings.h"

namespace cicadaloft {

/// Runs all tasks of one host on one thread.
class HostRuntime {
 public:
  /// Opens the host's addresses and starts its tasks.
  /// @return the runtime, or kSettingsInvalid if an address can't be opened.
  static Result<std::unique_ptr<HostRuntime>> Start(
      boost::asio::io_context& context,
      const HostSettings& settings,
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
