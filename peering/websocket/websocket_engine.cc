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

/// Stands in the handshake; the connection is already there.
constexpr char kUri[] = "ws://127.0.0.1/link";
constexpr std::size_t kMaxHandshakeBodyBytes = 1024;

/// What a connection has taken in and given out.
struct Buffers {
  WebSocketEngine::Bytes output;
  std::vector<WebSocketEngine::Bytes> messages;
};

template <typename Connection>
void Attach(Connection& connection, Buffers& buffers) {
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
void MakeSilent(Endpoint& endpoint) {
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
  Client::connection_ptr client_side;
  Server::connection_ptr server_side;
  bool has_failed = false;

  void Start(Role side) {
    if (side == Role::kClient) {
      MakeSilent(this->client);
      std::error_code error;
      this->client_side = this->client.get_connection(kUri, error);
      Attach(*this->client_side, this->buffers);
      this->client.connect(this->client_side);
      return;
    }
    MakeSilent(this->server);
    this->server_side = this->server.get_connection();
    Attach(*this->server_side, this->buffers);
    this->server_side->start();
  }

  /// Runs `step` on whichever side there is. The library throws where the
  /// connection has ended meanwhile.
  template <typename Step>
  void OnSide(Step step) {
    try {
      if (this->client_side) {
        step(*this->client_side);
      } else {
        step(*this->server_side);
      }
    } catch (const std::exception&) {
      this->has_failed = true;
    }
  }

  /// Lets go of the handlers, which refer to the connection itself.
  void Release() {
    this->OnSide([](auto& side) { side.eof(); });
  }
};

WebSocketEngine::WebSocketEngine(Role side, std::size_t max_message_bytes)
    : connection(std::make_unique<Connection>()) {
  this->connection->Start(side);
  this->SetMaxMessageBytes(max_message_bytes);
}

WebSocketEngine::~WebSocketEngine() {
  if (this->connection) {
    this->connection->Release();
  }
}

WebSocketEngine::WebSocketEngine(WebSocketEngine&& other) noexcept = default;
WebSocketEngine& WebSocketEngine::operator=(WebSocketEngine&& other) noexcept =
    default;

void WebSocketEngine::Feed(const std::uint8_t* bytes, std::size_t count) {
  this->connection->OnSide([&](auto& side) {
    side.read_all(reinterpret_cast<const char*>(bytes), count);
  });
}

void WebSocketEngine::Send(const Bytes& message) {
  if (this->state() != State::kOpen) {
    return;
  }
  this->connection->OnSide([&](auto& side) {
    const std::error_code error =
        side.send(message.data(), message.size(), ws::frame::opcode::binary);
    this->connection->has_failed |= static_cast<bool>(error);
  });
}

void WebSocketEngine::Ping() {
  if (this->state() != State::kOpen) {
    return;
  }
  this->connection->OnSide([](auto& side) {
    std::error_code ignored;
    side.ping("", ignored);
  });
}

void WebSocketEngine::Close() {
  if (this->state() != State::kOpen) {
    return;
  }
  this->connection->OnSide([](auto& side) {
    std::error_code ignored;
    side.close(ws::close::status::going_away, "", ignored);
  });
}

void WebSocketEngine::SetMaxMessageBytes(std::size_t max_message_bytes) {
  this->connection->OnSide(
      [&](auto& side) { side.set_max_message_size(max_message_bytes); });
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
  this->connection->OnSide([&](const auto& side) {
    if (side.get_state() == ws::session::state::connecting) {
      state = State::kConnecting;
    } else if (side.get_state() == ws::session::state::open) {
      state = State::kOpen;
    }
  });
  return this->connection->has_failed ? State::kClosed : state;
}

}  // namespace cicadaloft
