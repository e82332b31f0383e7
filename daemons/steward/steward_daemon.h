#ifndef CICADALOFT_DAEMONS_STEWARD_STEWARD_DAEMON_H_
#define CICADALOFT_DAEMONS_STEWARD_STEWARD_DAEMON_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "steward_options.h"

namespace cicadaloft {

/// The tasks of one steward process, on one io_context that runs on one
/// thread.
class StewardDaemon {
 public:
  /// Listens, and starts the tasks.
  /// @return the daemon, or kSettingsInvalid where it can't listen.
  static Result<std::unique_ptr<StewardDaemon>> Start(
      boost::asio::io_context& context,
      const StewardOptions& options,
      Incarnation incarnation);
  ~StewardDaemon();
  StewardDaemon(const StewardDaemon&) = delete;
  StewardDaemon& operator=(const StewardDaemon&) = delete;

  /// Begins a planned stop and waits for its end.
  /// @return whether the steward has handed its rights over within `limit`.
  boost::asio::awaitable<bool> Stop(Duration limit);
  std::uint16_t peer_port() const;
  std::uint16_t admin_port() const;

 private:
  struct Tasks;
  explicit StewardDaemon(std::unique_ptr<Tasks> tasks);

  std::unique_ptr<Tasks> tasks;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_STEWARD_DAEMON_H_
