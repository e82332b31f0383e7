#define BOOST_TEST_MODULE link_codec_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

#include "cicadaloft/peering/link_codec.h"
#include "ledger_generators.h"
#include "link_json.h"

namespace cicadaloft {
namespace {

using Bytes = std::vector<std::uint8_t>;

/// Checkpoints compare by their offset only; the bytes hold their state, too.
void CheckRoundTrip(const Envelope& envelope) {
  const Bytes bytes = EncodeEnvelope(envelope);
  const Result<Envelope> again = DecodeEnvelope(bytes);
  RC_ASSERT(IsOk(again));
  RC_ASSERT(ValueOf(again) == envelope);
  RC_ASSERT(EncodeEnvelope(ValueOf(again)) == bytes);
}

template <typename... Messages>
void CheckRoundTripOfEach(std::type_identity<std::variant<Messages...>>) {
  const auto check = []<typename T>(std::type_identity<T>) {
    CheckRoundTrip(Envelope{
        .from = Draw<HostId>(), .to = Draw<HostId>(), .message = Draw<T>()});
  };
  (check(std::type_identity<Messages>()), ...);
}

RC_BOOST_PROP(EachMessageIsReadAsWritten, ()) {
  CheckRoundTripOfEach(std::type_identity<LinkMessage>());
}

RC_BOOST_PROP(AnyBytesAreAnEnvelopeOrAnError, (const Bytes& bytes)) {
  const Result<Envelope> envelope = DecodeEnvelope(bytes);
  RC_ASSERT(!IsOk(envelope));
  RC_ASSERT(!ErrorOf(envelope).message.empty());
}

RC_BOOST_PROP(AMutatedEnvelopeIsAnEnvelopeOrAnError, ()) {
  const Bytes bytes = DrawMutationOf(EncodeEnvelope(Draw<Envelope>()));
  const Result<Envelope> envelope = DecodeEnvelope(bytes);
  if (IsOk(envelope)) {
    CheckRoundTrip(ValueOf(envelope));
  } else {
    RC_ASSERT(ErrorOf(envelope).kind == ErrorKind::kMalformedRequest);
    RC_ASSERT(!ErrorOf(envelope).message.empty());
  }
}

BOOST_AUTO_TEST_CASE(AStateOtherThanItsDigestIsRefused) {
  const auto state = std::make_shared<const Ledger>();
  Bytes bytes = EncodeEnvelope(
      Envelope{.message = StateTransfer{.checkpoint = {.state = state}}});
  const std::string name = "outcome_floor";
  const auto found = std::ranges::search(bytes, name);
  BOOST_REQUIRE(!found.empty());
  *found.end() = 7;  // The number after its name was 0.
  const Result<Envelope> envelope = DecodeEnvelope(bytes);
  BOOST_REQUIRE(!IsOk(envelope));
  BOOST_TEST(ErrorOf(envelope).message.find("digest") != std::string::npos);
}

}  // namespace
}  // namespace cicadaloft
