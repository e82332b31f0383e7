#ifndef CICADALOFT_RELAY_RELAY_INTERVALS_H_
#define CICADALOFT_RELAY_RELAY_INTERVALS_H_

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/relay/relay_reader.h"

namespace cicadaloft {

// All intervals are fractions of the time for which a leaving target still
// serves. Hosts have to learn of it before that time has passed.

/// @return the interval at which the lease holder relays what it has read.
Duration RelayInterval(Duration drain_time);

/// @return how `host` reads the registry, whose records change all the time.
RelayedStoreSettings RegistryReadSettings(Duration drain_time,
                                          const HostId& host);

/// @return how `host` reads the operator's topic, which seldom changes.
RelayedStoreSettings OperatorReadSettings(Duration drain_time,
                                          const HostId& host);

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_RELAY_INTERVALS_H_
