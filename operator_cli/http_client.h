#ifndef CICADALOFT_OPERATOR_CLI_HTTP_CLIENT_H_
#define CICADALOFT_OPERATOR_CLI_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "http_url.h"

namespace cicadaloft {

enum class HttpMethod { kGet, kPost };

struct HttpCall {
  const HttpMethod method = HttpMethod::kGet;
  const std::string path;
  const std::string body;
};

struct HttpAnswer {
  const int status = 0;
  const std::string body;
};

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

/// Brings a call to a server that answers it.
template <typename T>
concept CallSender = requires(T& sender, const HttpCall& call) {
  { sender.Send(call) } -> std::same_as<Awaitable<Result<HttpAnswer>>>;
};

/// Sends calls to the first of several servers that answers.
class HttpClient {
 public:
  static constexpr std::chrono::seconds kConnectTimeout{2};
  /// A steward answers a ticket only after it has read it back from the log.
  static constexpr std::chrono::seconds kAnswerTimeout{30};

  explicit HttpClient(std::vector<HttpUrl> servers)
      : servers(std::move(servers)) {}

  /// @return the answer, or kTargetUnreachable saying why each server gave
  /// none. The server may have run a call that it did not answer.
  Awaitable<Result<HttpAnswer>> Send(const HttpCall& call);

 private:
  std::vector<HttpUrl> servers;
  std::size_t preferred = 0;  ///< The one that answered last.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_OPERATOR_CLI_HTTP_CLIENT_H_
