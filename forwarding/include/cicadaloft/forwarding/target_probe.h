#ifndef CICADALOFT_FORWARDING_TARGET_PROBE_H_
#define CICADALOFT_FORWARDING_TARGET_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <string>
#include <utility>

#include "cicadaloft/core/time.h"
#include "cicadaloft/detour/detour_messages.h"

namespace cicadaloft {

/// Connects, sends a request and waits for the first byte of the response. A
/// connection alone shows nothing: the kernel of a peer that hangs makes one as
/// well. The connection is closed at the end.
/// @param address "IP:port".
/// @param request complete, without a body.
/// @param timeout for all of it.
/// @return whether a byte has arrived.
boost::asio::awaitable<bool> IsTargetReached(std::string address,
                                             std::string request,
                                             Duration timeout);

/// Task of one probe.
/// @param report gets whether the target was reached.
template <std::invocable<bool> Report>
boost::asio::awaitable<void> RunTargetProbe(std::string address,
                                            std::string request,
                                            Report report) {
  report(co_await IsTargetReached(std::move(address), std::move(request),
                                  kTargetProbeTimeout));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_PROBE_H_
