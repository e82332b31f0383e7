#ifndef CICADALOFT_FORWARDING_TARGET_RESPONSE_READER_H_
#define CICADALOFT_FORWARDING_TARGET_RESPONSE_READER_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/messages.h"
#include "cicadaloft/forwarding/target_connection.h"

namespace cicadaloft {

/// Reads the answers on one target connection, one after the other. Part of the
/// exchange that owns the connection.
class TargetResponseReader {
 public:
  /// A piece of a body, or how the attempt ends without it.
  using Piece = std::variant<std::string, AttemptOutcome>;

  /// @param is_head whether the request's method leaves the answer without a
  /// body.
  TargetResponseReader(std::shared_ptr<TargetConnection> connection,
                       bool is_head);

  /// Reads the next head; answers of status 1xx before it are skipped.
  /// @return how the attempt ends if there is none within `limit`.
  boost::asio::awaitable<std::optional<AttemptOutcome>> ReadHead(
      Duration limit);

  /// Yields what one read brought: nothing where it brought framing alone.
  boost::asio::awaitable<Piece> ReadPiece(Duration limit);

  /// Reads the rest of the body and drops it.
  /// @return whether it came whole within `limit`.
  boost::asio::awaitable<bool> SkipBody(Duration limit);

  bool IsDone() const { return this->parser->is_done(); }
  /// @return whether nothing on the connection can be mistaken for the next
  /// request's answer.
  bool LeavesConnectionFit() const;
  int status() const { return this->head_status; }
  const std::vector<HeaderField>& fields() const { return this->head_fields; }
  std::string Reason() const;
  BodyFraming Framing() const;
  std::optional<std::uint64_t> StatedLength() const;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  static constexpr std::uint32_t kHeaderLimit = 64 * 1024;
  static constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;

  const std::shared_ptr<TargetConnection> connection;
  const bool is_head;
  std::optional<Parser> parser;
  int head_status = 0;
  std::vector<HeaderField> head_fields;
  std::array<char, kPieceBytes> piece{};
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TARGET_RESPONSE_READER_H_
