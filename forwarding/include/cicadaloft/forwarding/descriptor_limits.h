#ifndef CICADALOFT_FORWARDING_DESCRIPTOR_LIMITS_H_
#define CICADALOFT_FORWARDING_DESCRIPTOR_LIMITS_H_

#include <algorithm>
#include <cstddef>

#include "cicadaloft/forwarding/forwarding_settings.h"

namespace cicadaloft {

/// Descriptors that are left to files; a quarter if the process has few.
inline constexpr std::size_t kFileDescriptors = 200;
/// Descriptors that are left to the host's own sockets, which are connections
/// to targets, the store and other hosts, connections with forwarded requests,
/// and probes of its readiness; half of all sockets if the process has few.
inline constexpr std::size_t kOwnSockets = 1800;
/// A host with fewer descriptors than this needs still serves.
inline constexpr std::size_t kMinCallerConnections = 16;

/// @param descriptors the limit of the process.
/// @return how many of them are left for sockets.
constexpr std::size_t SocketDescriptors(std::size_t descriptors) {
  return descriptors - std::min(kFileDescriptors, descriptors / 4);
}

/// @return how many of these sockets are the host's own.
constexpr std::size_t OwnSockets(std::size_t sockets) {
  return std::min(kOwnSockets, sockets / 2);
}

/// Callers must never take the descriptors that the host itself needs.
/// @param descriptors the limit of the process; from about 200 on, what callers
/// don't take suffices for the host.
/// @param listener_count number of the process's listeners for callers.
/// @return how many callers each listener serves at the same time, in addition
/// to the connections that it rejects.
constexpr std::size_t MaxCallerConnections(std::size_t descriptors,
                                           std::size_t listener_count) {
  const std::size_t sockets = SocketDescriptors(descriptors);
  const std::size_t callers = sockets - OwnSockets(sockets);
  const std::size_t share = callers / listener_count;
  const std::size_t served = share - std::min(share, kMaxRejectedConnections);
  return std::clamp(served, kMinCallerConnections, kMaxCallerConnections);
}

/// Forwarded requests take descriptors from the host's own sockets, never from
/// those for callers.
/// @param descriptors the limit of the process.
/// @return how many connections with forwarded requests are served at the same
/// time, in addition to those that are rejected: with the latter at most a
/// quarter of the host's own sockets.
constexpr std::size_t MaxForwardedConnections(std::size_t descriptors) {
  const std::size_t share = OwnSockets(SocketDescriptors(descriptors)) / 4;
  return share - std::min(share, kMaxRejectedForwardedConnections);
}

/// The other half of the connections is kept by hosts for their next request.
/// @param descriptors the limit of the process.
/// @return how many forwarded requests are served at the same time.
constexpr std::size_t MaxForwardedRequests(std::size_t descriptors) {
  return MaxForwardedConnections(descriptors) / 2;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_DESCRIPTOR_LIMITS_H_
