#ifndef CICADALOFT_DAEMONS_STEWARD_ADMIN_SERVER_H_
#define CICADALOFT_DAEMONS_STEWARD_ADMIN_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

#include "cicadaloft/core/result.h"

namespace cicadaloft {

/// One request of an operator.
struct AdminRequest {
  const std::string method;
  const std::string path;
  const std::string body;

  friend auto operator<=>(const AdminRequest&, const AdminRequest&) = default;
  friend bool operator==(const AdminRequest&, const AdminRequest&) = default;
};

struct AdminReply {
  const int status = 0;
  const std::string content_type;
  const std::string body;

  friend auto operator<=>(const AdminReply&, const AdminReply&) = default;
  friend bool operator==(const AdminReply&, const AdminReply&) = default;
};

/// @return the reply that tells an error, with the status of its table row.
AdminReply MakeProblem(const Error& error);
AdminReply MakeJsonReply(std::string body);
AdminReply MakeTextReply(std::string body);

/// Serves operators over HTTP; what to reply is decided by its handler.
class AdminServer {
 public:
  using Handler =
      std::function<boost::asio::awaitable<AdminReply>(AdminRequest)>;

  /// @return the server, or kSettingsInvalid if it can't listen there.
  static Result<AdminServer> Open(const boost::asio::any_io_executor& executor,
                                  const std::string& address);

  std::uint16_t port() const;

  /// Serves for good. The server must outlive it.
  boost::asio::awaitable<void> Run(Handler handler);

 private:
  explicit AdminServer(boost::asio::ip::tcp::acceptor acceptor)
      : acceptor(std::move(acceptor)) {}

  boost::asio::awaitable<void> Serve(boost::beast::tcp_stream stream,
                                     Handler handler);

  boost::asio::ip::tcp::acceptor acceptor;
  std::size_t connections = 0;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_ADMIN_SERVER_H_
