#ifndef CICADALOFT_TESTS_STAND_INS_LINKS_H_
#define CICADALOFT_TESTS_STAND_INS_LINKS_H_

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cicadaloft::stand_ins {

/// The connections of a server and the faults of links to them. A cut concerns
/// the connections from one address, so that one client can be cut off.
class Links {
 public:
  using Clock = std::chrono::steady_clock;
  using Socket = boost::asio::ip::tcp::socket;
  using Acceptor = boost::asio::ip::tcp::acceptor;

  enum class CutKind {
    kHang,   ///< Bytes are kept back until the cut ends.
    kReset,  ///< Connections are reset, new ones at once.
    kRefuse  ///< New connections are reset at once, half of the existing live.
  };

  /// A connection for as long as it is served.
  class Entry {
   public:
    Entry(Links& links, Socket& socket) : links(links), socket(socket) {
      this->links.sockets.insert(&this->socket);
    }
    ~Entry() { this->links.sockets.erase(&this->socket); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

   private:
    Links& links;
    Socket& socket;
  };

  void Listen(Acceptor& listener) { this->acceptor = &listener; }

  void Cut(const std::string& from,
           CutKind kind,
           std::chrono::milliseconds duration) {
    this->cuts[from] = {.kind = kind, .until = Clock::now() + duration};
    bool lives = true;
    for (Socket* socket : this->sockets) {
      if (kind != CutKind::kHang && AddressOf(*socket) == from) {
        lives = kind == CutKind::kRefuse && !lives;
        if (!lives) {
          Reset(*socket);
        }
      }
    }
  }

  /// @return whether a new connection is served; resets it if not.
  bool Admits(Socket& socket) const {
    const ActiveCut* cut = this->FindCut(socket);
    const bool is_admitted = cut == nullptr || cut->kind == CutKind::kHang;
    if (!is_admitted) {
      Reset(socket);
    }
    return is_admitted;
  }

  /// Waits while the connection hangs.
  boost::asio::awaitable<void> Pass(Socket& socket) const {
    const ActiveCut* cut = this->FindCut(socket);
    while (cut != nullptr && cut->kind == CutKind::kHang) {
      boost::asio::steady_timer timer(socket.get_executor(), cut->until);
      co_await timer.async_wait(boost::asio::use_awaitable);
      cut = this->FindCut(socket);
    }
  }

  /// Closes all connections, and doesn't listen for a while.
  void GoDown(std::chrono::milliseconds duration) {
    this->down_until = Clock::now() + duration;
    this->acceptor->close();
    for (Socket* socket : this->sockets) {
      boost::system::error_code ignored;
      std::ignore = socket->close(ignored);
    }
  }

  /// Waits until the server listens again.
  boost::asio::awaitable<void> AwaitUp() const {
    boost::asio::steady_timer timer(this->acceptor->get_executor(),
                                    this->down_until);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

 private:
  struct ActiveCut {
    CutKind kind;
    Clock::time_point until;
  };

  static std::string AddressOf(const Socket& socket) {
    boost::system::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? "" : endpoint.address().to_string();
  }

  static void Reset(Socket& socket) {
    boost::system::error_code ignored;
    std::ignore =
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    std::ignore = socket.close(ignored);
  }

  const ActiveCut* FindCut(const Socket& socket) const {
    const auto found = this->cuts.find(AddressOf(socket));
    return found != this->cuts.end() && Clock::now() < found->second.until
               ? &found->second
               : nullptr;
  }

  std::set<Socket*> sockets;
  std::map<std::string, ActiveCut> cuts;
  Acceptor* acceptor = nullptr;
  Clock::time_point down_until{};
};

}  // namespace cicadaloft::stand_ins

#endif  // CICADALOFT_TESTS_STAND_INS_LINKS_H_
