#include "cicadaloft/websocket/websocket_engine.h"

#include <functional>
#include <string>
#include <system_error>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace cicadaloft {
namespace {

namespace ws = websocketpp;

/// Named in the handshake only: the owner has already connected.
constexpr char kUri[] = "ws://127.0.0.1/link";
constexpr std::size_t kMaxHandshakeBodyBytes = 1024;

/// Received messages and unsent bytes of a connection.
struct Buffers {
  WebSocketEngine::Bytes output;
  std::vector<WebSocketEngine::Bytes> messages;
};

template <typename Connection>
void AttachHandlers(Connection& connection, Buffers& buffers) {
  connection.set_max_http_body_size(kMaxHandshakeBodyBytes);
  connection.set_write_handler([&buffers](const ws::connection_hdl&,
                                          const char* bytes,
                                          std::size_t count) {
    buffers.output.insert(buffers.output.end(), bytes, bytes + count);
    return std::error_code();
  });
  connection.set_message_handler(
      [&buffers](const ws::connection_hdl&, const auto& message) {
        const std::string& payload = message->get_payload();
        buffers.messages.emplace_back(payload.begin(), payload.end());
      });
}

template <typename Endpoint>
void DisableLogging(Endpoint& endpoint) {
  endpoint.clear_access_channels(ws::log::alevel::all);
  endpoint.clear_error_channels(ws::log::elevel::all);
}

}  // namespace

struct WebSocketEngine::Connection {
  using Client = ws::client<ws::config::core_client>;
  using Server = ws::server<ws::config::core>;

  Buffers buffers;
  Client client;
  Server server;
  Client::connection_ptr client_connection;
  Server::connection_ptr server_connection;
  bool has_failed = false;

  void Start(Role role) {
    if (role == Role::kClient) {
      DisableLogging(this->client);
      std::error_code error;
      this->client_connection = this->client.get_connection(kUri, error);
      AttachHandlers(*this->client_connection, this->buffers);
      this->client.connect(this->client_connection);
      return;
    }
    DisableLogging(this->server);
    this->server_connection = this->server.get_connection();
    AttachHandlers(*this->server_connection, this->buffers);
    this->server_connection->start();
  }

  /// Calls `action` on the connection of either role. The library throws if the
  /// connection has closed in the meantime.
  template <typename Action>
  void WithConnection(Action action) {
    try {
      if (this->client_connection) {
        action(*this->client_connection);
      } else {
        action(*this->server_connection);
      }
    } catch (const std::exception&) {
      this->has_failed = true;
    }
  }

  /// Makes the connection release its handlers, which refer to it.
  void ReleaseHandlers() {
    this->WithConnection([](auto& connection) { connection.eof(); });
  }
};

WebSocketEngine::WebSocketEngine(Role role, std::size_t max_message_bytes)
    : connection(std::make_unique<Connection>()) {
  this->connection->Start(role);
  this->SetMaxMessageBytes(max_message_bytes);
}

WebSocketEngine::~WebSocketEngine() {
  if (this->connection) {
    this->connection->ReleaseHandlers();
  }
}

WebSocketEngine::WebSocketEngine(WebSocketEngine&& other) noexcept = default;
WebSocketEngine& WebSocketEngine::operator=(WebSocketEngine&& other) noexcept =
    default;

void WebSocketEngine::Feed(const std::uint8_t* bytes, std::size_t count) {
  this->connection->WithConnection([&](auto& connection) {
    connection.read_all(reinterpret_cast<const char*>(bytes), count);
  });
}

void WebSocketEngine::Send(const Bytes& message) {
  if (this->state() != State::kOpen) {
    return;
  }
  this->connection->WithConnection([&](auto& connection) {
    const std::error_code error = connection.send(
        message.data(), message.size(), ws::frame::opcode::binary);
    this->connection->has_failed |= static_cast<bool>(error);
  });
}

void WebSocketEngine::Ping() {
  if (this->state() != State::kOpen) {
    return;
  }
  this->connection->WithConnection([](auto& connection) {
    std::error_code ignored;
    connection.ping("", ignored);
  });
}

void WebSocketEngine::Close() {
  if (this->state() != State::kOpen) {
    return;
  }
  this->connection->WithConnection([](auto& connection) {
    std::error_code ignored;
    connection.close(ws::close::status::going_away, "", ignored);
  });
}

void WebSocketEngine::SetMaxMessageBytes(std::size_t max_message_bytes) {
  this->connection->WithConnection([&](auto& connection) {
    connection.set_max_message_size(max_message_bytes);
  });
}

WebSocketEngine::Bytes WebSocketEngine::TakeOutput() {
  return std::exchange(this->connection->buffers.output, {});
}

std::size_t WebSocketEngine::PendingOutputBytes() const {
  return this->connection->buffers.output.size();
}

std::vector<WebSocketEngine::Bytes> WebSocketEngine::TakeMessages() {
  return std::exchange(this->connection->buffers.messages, {});
}

WebSocketEngine::State WebSocketEngine::state() const {
  State state = State::kClosed;
  this->connection->WithConnection([&](const auto& connection) {
    if (connection.get_state() == ws::session::state::connecting) {
      state = State::kConnecting;
    } else if (connection.get_state() == ws::session::state::open) {
      state = State::kOpen;
    }
  });
  return this->connection->has_failed ? State::kClosed : state;
}

WebSocketEngine::HandshakeResponse WebSocketEngine::handshake_response() const {
  const auto& response = this->connection->client_connection->get_response();
  const auto& fields = response.get_headers();
  return HandshakeResponse{static_cast<int>(response.get_status_code()),
                           response.get_status_msg(),
                           {fields.begin(), fields.end()}};
}

}  // namespace cicadaloft
