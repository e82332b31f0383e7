#ifndef CICADALOFT_PEERING_LINK_CHANNEL_H_
#define CICADALOFT_PEERING_LINK_CHANNEL_H_

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/system/error_code.hpp>
#include <memory>

#include "cicadaloft/peering/link_messages.h"

namespace cicadaloft {

/// Channel on which link tasks report events to their user. While it is full
/// the links stop reading from their sockets; a link that stays blocked for
/// LinkSettings::receive_timeout is closed.
using LinkEventChannel = boost::asio::experimental::concurrent_channel<
    void(boost::system::error_code, LinkEvent)>;

using LinkEventSink = std::shared_ptr<LinkEventChannel>;

}  // namespace cicadaloft

#endif  // CICADALOFT_PEERING_LINK_CHANNEL_H_
