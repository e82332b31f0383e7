#include "stream_check.h"

#include <sstream>

namespace cicadaloft::soak {
namespace {

std::string CheckOwner(const std::string& id, const ResponseParts& response) {
  if (response.stamp.empty()) {
    return "MIXED: success without Server-Stamp";
  }
  return response.id == id ? "" : "MIXED: response to " + response.id;
}

}  // namespace

std::string CheckPlain(const std::string& id, const ResponseParts& response) {
  std::string fault = CheckOwner(id, response);
  if (!fault.empty()) {
    return fault;
  }
  const bool is_own =
      response.body.find("\"ran\":\"" + id + "\"") != std::string::npos;
  return is_own ? "" : "MIXED: body of another request: " + response.body;
}

std::string CheckStream(const std::string& id, const ResponseParts& response) {
  std::string fault = CheckOwner(id, response);
  if (!fault.empty()) {
    return fault;
  }
  std::istringstream lines(response.body);
  std::string line;
  long next = 1;
  bool is_done = false;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      if (line != "id: " + std::to_string(next) || is_done) {
        return "ORDER: \"" + line + "\" instead of " + std::to_string(next);
      }
      ++next;
    }
    is_done = is_done || line == "data: [DONE]";
  }
  return is_done ? "" : "ORDER: complete without its end";
}

}  // namespace cicadaloft::soak
