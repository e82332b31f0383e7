#define BOOST_TEST_MODULE alignment_codec
#include "cicadaloft/alignment/alignment_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace cicadaloft {
namespace {

// Guards against a configuration that changes on the way to another host.
BOOST_AUTO_TEST_CASE(RecordArrivesAsItWasWritten) {
  const std::string bytes("{\"a\":\"\xc3\xa7\"}\0\xff", 12);
  for (const HeldConfiguration& held :
       {HeldConfiguration{.host = HostId("a"),
                          .version = ConfigurationVersion(7),
                          .record = bytes},
        HeldConfiguration{.host = HostId("a"), .reaches_targets = false}}) {
    const auto decoded = DecodeHeldConfiguration(EncodeHeldConfiguration(held));
    BOOST_REQUIRE(IsOk(decoded));
    BOOST_TEST((ValueOf(decoded) == held));
  }
}

// Guards against a host that ends, or takes a part of a message for a whole
// one, because of what another process sends.
BOOST_AUTO_TEST_CASE(InvalidMessagesAreErrors) {
  const std::string whole = EncodeHeldConfiguration(
      {.host = HostId("a"), .version = ConfigurationVersion(7)});
  for (const std::string& bytes :
       {std::string(), std::string("{}"), std::string("\xff\xff"),
        whole.substr(0, whole.size() - 1), whole + whole}) {
    const auto decoded = DecodeHeldConfiguration(bytes);
    BOOST_REQUIRE(!IsOk(decoded));
    BOOST_TEST((ErrorOf(decoded).kind == ErrorKind::kMalformedRequest));
  }
}

}  // namespace
}  // namespace cicadaloft
