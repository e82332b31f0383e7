#include "cicadaloft/forwarding/parsed_head.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

ReceivedHead ToReceivedHead(const boost::beast::http::response_header<>& header,
                            RequestKind request) {
  constexpr unsigned kHttp11 = 11;
  ReceivedHead head{.status = static_cast<int>(header.result_int()),
                    .reason_phrase = std::string(header.reason()),
                    .is_http_1_0 = header.version() < kHttp11,
                    .request = request};
  std::ranges::transform(
      header, std::back_inserter(head.fields), [](const auto& field) {
        return HeaderField{.name = std::string(field.name_string()),
                           .value = std::string(field.value())};
      });
  return head;
}

}  // namespace cicadaloft
