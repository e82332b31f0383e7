#include "cicadaloft/forwarding/idle_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <tuple>

namespace cicadaloft {

bool IsReusable(boost::asio::ip::tcp::socket& socket,
                const boost::beast::flat_buffer& buffer) {
  if (buffer.size() != 0) {
    return false;
  }
  boost::system::error_code error;
  std::ignore = socket.non_blocking(true, error);
  if (error) {
    return false;
  }
  std::array<char, 1> byte{};
  socket.receive(boost::asio::buffer(byte),
                 boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace cicadaloft
