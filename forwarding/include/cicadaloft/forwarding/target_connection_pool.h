#ifndef CICADALOFT_FORWARDING_TARGET_CONNECTION_POOL_H_
#define CICADALOFT_FORWARDING_TARGET_CONNECTION_POOL_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "cicadaloft/core/time.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/forwarding/target_connection.h"

namespace cicadaloft {

/// Idle connections to targets, each after a complete, well-framed response.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(const TargetLimits& limits) : limits(limits) {}

  /// @param request the caller's id of the request that is to be sent.
  /// @return a connection on which nothing has arrived since its last response
  /// and on which the target has not refused this request, or null.
  std::shared_ptr<TargetConnection> Acquire(const std::string& address,
                                            const RequestId& request,
                                            TimePoint now);
  /// Adds an idle connection; drops the oldest one for this address if there
  /// are too many.
  /// @param idle_timeout after which the target closes the connection. The pool
  /// drops it well before that, so that no request is sent while the target
  /// closes.
  void Release(const std::string& address,
               std::shared_ptr<TargetConnection> connection,
               Duration idle_timeout,
               TimePoint now);
  /// Closes connections that have been idle for too long.
  void Prune(TimePoint now);

 private:
  struct IdleConnection {
    std::shared_ptr<TargetConnection> connection;
    TimePoint expires_at;
  };

  const TargetLimits limits;
  std::map<std::string, std::deque<IdleConnection>> idle_connections;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_CONNECTION_POOL_H_
