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

/// Idle connections to targets, each after a whole, well-framed answer.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(const TargetLimits& limits) : limits(limits) {}

  /// @return a connection on which nothing has come since, or null.
  std::shared_ptr<TargetConnection> Take(const std::string& address,
                                         TimePoint now);
  /// Keeps a connection; the oldest one gives way where there are too many.
  /// @param idle_timeout after which the target closes it. It is given up well
  /// before, since a request must not cross the closing.
  void Keep(const std::string& address,
            std::shared_ptr<TargetConnection> connection,
            Duration idle_timeout,
            TimePoint now);
  /// Closes what has been idle for too long.
  void Prune(TimePoint now);

 private:
  struct Idle {
    std::shared_ptr<TargetConnection> connection;
    TimePoint ends;
  };

  const TargetLimits limits;
  std::map<std::string, std::deque<Idle>> idle;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_CONNECTION_POOL_H_
