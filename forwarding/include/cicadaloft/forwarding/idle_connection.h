#ifndef CICADALOFT_FORWARDING_IDLE_CONNECTION_H_
#define CICADALOFT_FORWARDING_IDLE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace cicadaloft {

/// @param buffer bytes that were read and not parsed.
/// @return whether an idle connection may carry another request: it is open,
/// and no byte has arrived that would be taken for the response.
bool IsReusable(boost::asio::ip::tcp::socket& socket,
                const boost::beast::flat_buffer& buffer);

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_IDLE_CONNECTION_H_
