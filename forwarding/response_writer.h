#ifndef CICADALOFT_FORWARDING_RESPONSE_WRITER_H_
#define CICADALOFT_FORWARDING_RESPONSE_WRITER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "cicadaloft/core/time.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// @return how the end of the response body is marked for this caller. The end
/// of the connection is the mark only where HTTP/1.0 has no other: a connection
/// also ends when this process does.
BodyFraming FramingFor(const ResponseHead& head, const ResponseFormat& format);

/// @return the status line and header fields for the caller.
/// @param keep_alive whether the connection serves further requests.
std::string FormatResponseHead(const ResponseHead& head,
                               const ResponseFormat& format,
                               bool keep_alive);

/// @return the bytes encoded for a body with this framing.
std::string FormatPiece(const std::string& bytes, BodyFraming framing);

/// @return the end mark of a body with this framing.
std::string FormatBodyEnd(BodyFraming framing);

/// Writes all of `bytes`.
/// @param stall_timeout longest time without a byte being accepted.
/// @return whether all bytes were written.
boost::asio::awaitable<bool> WriteAll(boost::asio::ip::tcp::socket& socket,
                                      std::string bytes,
                                      Duration stall_timeout);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_RESPONSE_WRITER_H_
