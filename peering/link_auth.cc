#include "link_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string_view>

namespace cicadaloft {
namespace {

using nlohmann::json;

constexpr char kProtocolName[] = "cicadaloft-link-1";
constexpr std::size_t kHelloFieldCount = 3;
/// The decoder recurses for each level of nesting, and a hello comes from a
/// peer that is not authenticated yet.
constexpr std::size_t kMaxHelloBytes = 1024;

/// Appends a length-prefixed text, so that different lists of texts never yield
/// the same bytes.
void AppendText(std::string& to, std::string_view text) {
  to += std::to_string(text.size());
  to += ':';
  to += text;
}

void AppendHello(std::string& to, const LinkHello& hello) {
  AppendText(to, hello.self.host.value());
  AppendText(to, hello.nonce);
}

}  // namespace

LinkHello MakeHello(const LinkPeer& self) {
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    std::abort();
  }
  return LinkHello{.self = self, .nonce = std::move(nonce)};
}

std::vector<std::uint8_t> EncodeHello(const LinkHello& hello) {
  const std::vector<std::uint8_t> nonce(hello.nonce.begin(), hello.nonce.end());
  return json::to_cbor(json::array(
      {kProtocolName, hello.self.host.value(), json::binary(nonce)}));
}

std::optional<LinkHello> DecodeHello(const std::vector<std::uint8_t>& bytes) {
  if (bytes.size() > kMaxHelloBytes) {
    return std::nullopt;
  }
  const json fields = json::from_cbor(bytes, true, false);
  if (!fields.is_array() || fields.size() != kHelloFieldCount ||
      fields[0] != kProtocolName || !fields[1].is_string() ||
      !fields[2].is_binary()) {
    return std::nullopt;
  }
  const auto& nonce = fields[2].get_binary();
  if (nonce.size() != kNonceBytes) {
    return std::nullopt;
  }
  return LinkHello{
      .self = LinkPeer{.host = HostId(fields[1].get<std::string>())},
      .nonce = std::string(nonce.begin(), nonce.end())};
}

std::vector<std::uint8_t> ComputeProof(const std::string& secret,
                                       LinkRole role,
                                       const LinkHello& client,
                                       const LinkHello& server) {
  std::string text;
  AppendText(text, kProtocolName);
  AppendText(text, role == LinkRole::kClient ? "client" : "server");
  AppendHello(text, client);
  AppendHello(text, server);
  std::vector<std::uint8_t> proof(EVP_MAX_MD_SIZE);
  unsigned int size = 0;
  if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           proof.data(), &size) == nullptr) {
    std::abort();
  }
  proof.resize(size);
  return proof;
}

bool ProofsEqual(const std::vector<std::uint8_t>& left,
                 const std::vector<std::uint8_t>& right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace cicadaloft
