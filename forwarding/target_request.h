#ifndef CICADALOFT_FORWARDING_TARGET_REQUEST_H_
#define CICADALOFT_FORWARDING_TARGET_REQUEST_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// @return the header of the request as the target gets it.
std::string FormatTargetHeader(const CallerRequest& request,
                               std::string_view address);

/// @param address "IP:port", an IPv6 address in brackets.
/// @return the endpoint, or none for another text.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

/// @return what a model engine's error answer says of the run, or none if it
/// is an answer for the caller.
std::optional<AttemptOutcome> RefusalIn(int status, std::string_view body);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_REQUEST_H_
