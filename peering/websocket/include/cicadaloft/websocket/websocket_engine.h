#ifndef CICADALOFT_WEBSOCKET_WEBSOCKET_ENGINE_H_
#define CICADALOFT_WEBSOCKET_WEBSOCKET_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cicadaloft {

/// The WebSocket protocol of one connection, without a socket: its owner feeds
/// what has come and sends what is to go. Written for C++17 and C++20, since
/// the library behind it does not compile as C++20.
class WebSocketEngine {
 public:
  using Bytes = std::vector<std::uint8_t>;

  enum class Role { kClient, kServer };
  enum class State {
    kConnecting,  ///< The opening handshake goes on.
    kOpen,
    kClosed,  ///< Nothing more comes; send what is left and close.
  };

  /// A client has its handshake ready to be sent at once.
  /// @param max_message_bytes a longer message closes the connection.
  WebSocketEngine(Role side, std::size_t max_message_bytes);
  ~WebSocketEngine();
  WebSocketEngine(WebSocketEngine&& other) noexcept;
  WebSocketEngine& operator=(WebSocketEngine&& other) noexcept;

  /// Takes bytes that have come from the other end.
  void Feed(const std::uint8_t* bytes, std::size_t count);
  /// Queues one binary message; dropped unless the connection is open.
  void Send(const Bytes& message);
  /// Queues a ping, which the other end answers.
  void Ping();
  /// Begins the closing handshake.
  void Close();
  void SetMaxMessageBytes(std::size_t max_message_bytes);

  /// @return the bytes that have to be sent, which are then gone from here.
  Bytes TakeOutput();
  std::size_t PendingOutputBytes() const;
  /// @return whole messages in the order in which they came.
  std::vector<Bytes> TakeMessages();
  State state() const;

 private:
  struct Connection;
  std::unique_ptr<Connection> connection;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_WEBSOCKET_WEBSOCKET_ENGINE_H_
