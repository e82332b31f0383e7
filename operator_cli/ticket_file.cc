#include "ticket_file.h"

#include <cerrno>
#include <cstddef>
#include <fstream>
#include <optional>
#include <system_error>

#include "cicadaloft/tickets/config.h"
#include "cicadaloft/tickets/ticket_codec.h"

namespace cicadaloft {
namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{8} << 20;

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || !file.eof()) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

Error Malformed(const std::string& path, const std::string& what) {
  return Fail(ErrorKind::kTicketMalformed, path + ": " + what);
}

}  // namespace

Result<Ticket> ReadTicketFile(const std::string& path) {
  errno = 0;
  const std::optional<std::string> text = ReadText(path);
  if (!text.has_value()) {
    return Malformed(path, errno == 0 ? "expected a file of at most 8 MiB"
                                      : std::generic_category().message(errno));
  }
  Result<Ticket> ticket = ParseTicket(*text);
  if (!IsOk(ticket)) {
    return Malformed(path, ErrorOf(ticket).message);
  }
  if (const auto error = CheckTicketShape(ValueOf(ticket))) {
    return Malformed(path, error->message);
  }
  return ticket;
}

}  // namespace cicadaloft
