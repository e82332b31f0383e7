#ifndef CICADALOFT_FORWARDING_PARSED_HEAD_H_
#define CICADALOFT_FORWARDING_PARSED_HEAD_H_

#include <boost/beast/http/message.hpp>

#include "cicadaloft/responses/response_rules.h"

namespace cicadaloft {

/// @param header of a parser that has read a complete head.
/// @return the head, for FindDefect().
ReceivedHead ToReceivedHead(const boost::beast::http::response_header<>& header,
                            RequestKind request);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_PARSED_HEAD_H_
