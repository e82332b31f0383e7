#ifndef CICADALOFT_HOST_HOST_RUNTIME_H_
#define CICADALOFT_HOST_HOST_RUNTIME_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "cicadaloft/core/result.h"
#include "cicadaloft/telemetry/output_buffer.h"
#include "host_settings.h"

namespace cicadaloft {

/// All tasks of one host, on one thread.
class HostRuntime {
 public:
  /// Opens the host's addresses and starts its tasks.
  /// @return the runtime, or kSettingsInvalid if an address can't be opened.
  static Result<std::unique_ptr<HostRuntime>> Start(
      boost::asio::io_context& context,
      const HostSettings& settings,
      std::shared_ptr<OutputBuffer> output);
  ~HostRuntime();

  /// Takes no more requests and finishes those that run.
  /// @return when nothing is left to do, or the time to stop is over.
  boost::asio::awaitable<void> Stop();

 private:
  class Tasks;
  explicit HostRuntime(std::shared_ptr<Tasks> tasks);

  std::shared_ptr<Tasks> tasks;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_HOST_RUNTIME_H_
