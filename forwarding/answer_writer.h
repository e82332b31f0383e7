#ifndef CICADALOFT_FORWARDING_ANSWER_WRITER_H_
#define CICADALOFT_FORWARDING_ANSWER_WRITER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "cicadaloft/core/time.h"
#include "cicadaloft/forwarding/messages.h"

namespace cicadaloft {

/// @return how the answer's end is shown to this caller.
BodyFraming FramingFor(const ResponseHead& head, const ResponseFormat& caller);

/// @return the answer's header for the caller.
/// @param keep_alive whether the connection serves further requests.
std::string FormatAnswerHeader(const ResponseHead& head,
                               const ResponseFormat& caller,
                               bool keep_alive);

/// @return the bytes as they stand in a body with this framing.
std::string FormatPiece(const std::string& bytes, BodyFraming framing);

/// @return what ends a body with this framing.
std::string FormatBodyEnd(BodyFraming framing);

/// Writes all of `bytes`.
/// @param stall the longest time without a byte being taken.
/// @return whether the caller has taken them.
boost::asio::awaitable<bool> WriteAll(boost::asio::ip::tcp::socket& socket,
                                      std::string bytes,
                                      Duration stall);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ANSWER_WRITER_H_
