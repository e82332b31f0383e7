#ifndef CICADALOFT_WEBSOCKET_WEBSOCKET_ENGINE_H_
#define CICADALOFT_WEBSOCKET_WEBSOCKET_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cicadaloft {

/// The WebSocket protocol of one connection, without I/O: its owner passes in
/// the bytes that it received and sends the bytes that it takes out. The header
/// compiles as C++17 and C++20, because websocketpp doesn't compile as C++20.
class WebSocketEngine {
 public:
  using Bytes = std::vector<std::uint8_t>;

  enum class Role { kClient, kServer };
  enum class State {
    kConnecting,  ///< The opening handshake is in progress.
    kOpen,
    kClosed,  ///< No more messages; send the remaining output and close.
  };

  /// Head of the response to a client's opening handshake.
  struct HandshakeResponse {
    int status = 0;
    std::string reason_phrase;
    std::vector<std::pair<std::string, std::string>> fields;
  };

  /// The output of a client holds its opening handshake from the start.
  /// @param max_message_bytes a longer message closes the connection.
  WebSocketEngine(Role role, std::size_t max_message_bytes);
  ~WebSocketEngine();
  WebSocketEngine(WebSocketEngine&& other) noexcept;
  WebSocketEngine& operator=(WebSocketEngine&& other) noexcept;

  /// Processes bytes received from the peer.
  void Feed(const std::uint8_t* bytes, std::size_t count);
  /// Queues one binary message. Drops it unless the connection is open.
  void Send(const Bytes& message);
  /// Queues a ping, which the peer answers with a pong.
  void Ping();
  /// Starts the closing handshake.
  void Close();
  void SetMaxMessageBytes(std::size_t max_message_bytes);

  /// Removes and returns the bytes that have to be sent.
  Bytes TakeOutput();
  std::size_t PendingOutputBytes() const;
  /// Removes and returns the complete messages, in the order of arrival.
  std::vector<Bytes> TakeMessages();
  State state() const;
  /// @return the head by which the server has opened the connection.
  /// @pre the role is kClient, and the state is kOpen.
  HandshakeResponse handshake_response() const;

 private:
  struct Connection;
  std::unique_ptr<Connection> connection;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_WEBSOCKET_WEBSOCKET_ENGINE_H_
