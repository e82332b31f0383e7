#include "link_auth.h"

#include <boost/test/unit_test.hpp>

namespace cicadaloft {
namespace {

const std::string kSecret = "0123456789abcdef";

LinkHello MakeHelloFrom(const std::string& host) {
  return MakeHello(LinkPeer{.host = HostId(host)});
}

BOOST_AUTO_TEST_SUITE(link_auth)

BOOST_AUTO_TEST_CASE(HelloRoundTripsAndTruncatedBytesAreRejected) {
  const LinkHello hello = MakeHelloFrom("a-1");
  BOOST_TEST((DecodeHello(EncodeHello(hello)) == hello));
  BOOST_TEST(!DecodeHello({}).has_value());
  BOOST_TEST(!DecodeHello({0x01}).has_value());
  auto truncated = EncodeHello(hello);
  truncated.pop_back();
  BOOST_TEST(!DecodeHello(truncated).has_value());
}

// Guards against the end of the process by a peer that is not authenticated.
BOOST_AUTO_TEST_CASE(DeeplyNestedHelloIsRejected) {
  constexpr std::uint8_t kArrayOfOne = 0x81;
  constexpr std::size_t kDepth = 1'000'000;
  BOOST_TEST(!DecodeHello(std::vector<std::uint8_t>(kDepth, kArrayOfOne)));
}

BOOST_AUTO_TEST_CASE(ProofDependsOnRoleHostsNoncesAndSecret) {
  const LinkHello a = MakeHelloFrom("a");
  const LinkHello b = MakeHelloFrom("b");
  const LinkHello other_host{.self = LinkPeer{.host = HostId("c")},
                             .nonce = a.nonce};
  const auto proof = ComputeProof(kSecret, LinkRole::kClient, a, b);
  const auto differs = [&](const auto& other) {
    return !ProofsEqual(proof, other);
  };
  BOOST_TEST(!differs(ComputeProof(kSecret, LinkRole::kClient, a, b)));
  BOOST_TEST(differs(ComputeProof(kSecret, LinkRole::kServer, a, b)));
  BOOST_TEST(differs(ComputeProof(kSecret, LinkRole::kClient, b, a)));
  BOOST_TEST(differs(ComputeProof(kSecret, LinkRole::kClient, other_host, b)));
  BOOST_TEST(
      differs(ComputeProof(kSecret, LinkRole::kClient, MakeHelloFrom("a"), b)));
  BOOST_TEST(
      differs(ComputeProof("0123456789abcdeg", LinkRole::kClient, a, b)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cicadaloft
