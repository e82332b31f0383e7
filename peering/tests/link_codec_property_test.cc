#define BOOST_TEST_MODULE link_codec_property
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "cicadaloft/detour/detour_ledger.h"
#include "cicadaloft/peering/link_codec.h"
#include "generators.h"

namespace cicadaloft {
namespace {

using Bytes = std::vector<std::uint8_t>;

std::string DrawName() {
  return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

ModelPath DrawPath() {
  return ModelPath{.model = ModelId(DrawName()),
                   .adapter = AdapterId(DrawName())};
}

std::uint32_t DrawCount() {
  return *rc::gen::inRange<std::uint32_t>(0, 100000);
}

Fingerprint DrawFingerprint() {
  return Fingerprint{
      .kind = static_cast<FingerprintKind>(*rc::gen::inRange(0, 6)),
      .hash = *rc::gen::arbitrary<std::uint64_t>()};
}

std::vector<PeerMessage> DrawMessages() {
  return {
      ModelUsageReport{.host = HostId(DrawName()),
                       .usages = {{.path = DrawPath(),
                                   .arrivals = DrawCount(),
                                   .running = DrawCount(),
                                   .interactive = DrawCount()}}},
      DemandReport{.host = HostId(DrawName()),
                   .grant_number = DrawCount(),
                   .demands = {{.customer = CustomerId(DrawName()),
                                .cost = 0.5 * DrawCount(),
                                .used_fraction = 0.25}},
                   .shares_in_use = {{.customer = CustomerId(DrawName()),
                                      .share = 0.25}},
                   .configuration = ConfigurationVersion(DrawCount())},
      ModelLoadRequest{.service = ServiceId(DrawName()),
                       .path = DrawPath(),
                       .waiting = DrawCount(),
                       .latency_objective = Duration(DrawCount()),
                       .denied_by = {TargetId(DrawName())}},
      ModelLoadRequest{.service = ServiceId(DrawName()),
                       .path = DrawPath(),
                       .software = SoftwareVersion(DrawName())},
      PlacementChange{.target = TargetId(DrawName()),
                      .instance = TargetInstance(DrawCount()),
                      .path = DrawPath(),
                      .is_load = true,
                      .ready_in = Duration(DrawCount())},
      ShareGrant{
          .grant_number = DrawCount(),
          .host_count = DrawCount(),
          .shares = {{.customer = CustomerId(DrawName()), .share = 0.125}},
          .configuration = ConfigurationVersion(DrawCount())},
      CrashEvidence{
          .target = TargetId(DrawName()),
          .instance = TargetInstance(DrawCount()),
          .is_unreachable = true,
          .requests = {{.fingerprints = {DrawFingerprint(), DrawFingerprint()},
                        .response_bytes = 7}},
          .age = Duration(DrawCount())},
      PoisonSuspects{.suspects = {{.fingerprint = DrawFingerprint(),
                                   .age = Duration(DrawCount())}}},
      PoisonRefutation{.fingerprints = {DrawFingerprint()},
                       .served_before = {DrawFingerprint()}},
      PoisonBlock{.fingerprints = {DrawFingerprint(), DrawFingerprint()},
                  .remaining = Duration(DrawCount())},
      QuotaRequest{.host = HostId(DrawName()),
                   .request = RequestId(DrawName()),
                   .customer = CustomerId(DrawName()),
                   .cost = 0.5 * DrawCount()},
      QuotaReply{.request = RequestId(DrawName()),
                 .is_granted = true,
                 .retry_after = Duration(DrawCount())},
      WarmupRequest{.host = HostId(DrawName()),
                    .target = TargetId(DrawName()),
                    .request_number = DrawCount(),
                    .count = DrawCount()},
      WarmupGrant{.target = TargetId(DrawName()),
                  .request_number = DrawCount(),
                  .count = DrawCount()},
      TargetLeavingReport{.target = TargetId(DrawName()),
                          .instance = TargetInstance(DrawCount())},
      RelayRequest{.host = HostId(DrawName()), .number = DrawCount()},
      RelayWelcome{.request_number = DrawCount(),
                   .holder_time = Duration(DrawCount())},
      StoreRelay{.topics = {RelayedTopic{
                     .topic = DrawName(),
                     .from = LogOffset(DrawCount()),
                     .records = {DrawName(), std::string("\x03") + "k\xff{}"},
                     .complete_at = Duration(DrawCount()),
                     .era = StoreEra(DrawCount())}}},
      HostPosition{.host = HostId(DrawName()),
                   .position = DrawCount(),
                   .count = DrawCount(),
                   .age = Duration(DrawCount())},
      QuotaHistory{.host = HostId(DrawName()),
                   .customers = {{.customer = CustomerId(DrawName()),
                                  .charges = {{.age = Duration(DrawCount()),
                                               .cost = 0.5 * DrawCount()}}}}},
      ServiceLoadReport{
          .host = HostId(DrawName()),
          .loads = {{.service = ServiceId(DrawName()),
                     .arrivals = DrawCount(),
                     .started = DrawCount(),
                     .waiting = DrawCount(),
                     .running = {{.data_centre = DataCentreId(DrawName()),
                                  .running = DrawCount()}}}}},
      UsageCounts{.host = HostId(DrawName()),
                  .process = DrawCount(),
                  .number = DrawCount(),
                  .counted_since = *rc::gen::arbitrary<std::uint64_t>(),
                  .counted_until = *rc::gen::arbitrary<std::uint64_t>(),
                  .own_time = DrawCount(),
                  .has_ended = true,
                  .windows = {{UsageWindow(DrawCount()),
                               {{CustomerId(DrawName()), DrawCount()}}}}},
      UsageClock{.number = DrawCount(),
                 .wall_time = *rc::gen::arbitrary<std::uint64_t>()},
      DetourOffer{.host = HostId(DrawName()),
                  .address = DrawName(),
                  .reaches_targets = *rc::gen::arbitrary<bool>()},
      DetourHosts{},
      DetourHosts{
          .hosts = {{.host = HostId(DrawName()), .address = DrawName()},
                    {.host = HostId(DrawName()), .address = DrawName()}}},
      SnapshotRequest{.host = HostId(DrawName())},
      RelayedSnapshot{},
      RelayedSnapshot{.records = {{.key = DrawName(), .value = DrawName()},
                                  {.key = DrawName(), .value = std::nullopt}},
                      .end = LogOffset(DrawCount()),
                      .era = StoreEra(DrawCount())}};
}

void CheckRoundTrip(const PeerMessage& message) {
  const Bytes bytes = EncodePeerMessage(message);
  const Result<PeerMessage> decoded = DecodePeerMessage(bytes);
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(ValueOf(decoded) == message);
}

RC_BOOST_PROP(EveryMessageRoundTrips, ()) {
  for (const PeerMessage& message : DrawMessages()) {
    CheckRoundTrip(message);
  }
}

// Guards against requests that hosts of the earlier version can't read, since
// they refuse fields that they don't know.
RC_BOOST_PROP(LoadRequestForAnyVersionHasTheEarlierFields, ()) {
  const auto fields_of = [](const ModelLoadRequest& request) {
    const auto json = nlohmann::json::from_cbor(EncodePeerMessage(request));
    std::set<std::string> names;
    for (const auto& [name, value] : json.at("model_wanted").items()) {
      names.insert(name);
    }
    return names;
  };
  const ServiceId service(DrawName());
  const std::set<std::string> earlier = {"service", "path", "waiting",
                                         "latency_aim", "denied_by"};
  RC_ASSERT(fields_of({.service = service, .path = DrawPath()}) == earlier);
  RC_ASSERT(fields_of({.service = service, .software = SoftwareVersion("v")})
                .size() == earlier.size() + 1);
}

// Guards against relays that hosts of the earlier version skip although the
// store states no era, since they refuse fields that they don't know.
RC_BOOST_PROP(RelayWithoutAnEraHasTheEarlierFields, ()) {
  const auto fields_of = [](const RelayedTopic& topic) {
    const auto json = nlohmann::json::from_cbor(
        EncodePeerMessage(StoreRelay{.topics = {topic}}));
    std::set<std::string> names;
    for (const auto& [name, value] :
         json.at("store_relay").at("topics").at(0).items()) {
      names.insert(name);
    }
    return names;
  };
  const std::set<std::string> earlier = {"topic", "from", "records",
                                         "complete_at"};
  const RelayedTopic topic{.topic = DrawName(),
                           .from = LogOffset(DrawCount()),
                           .records = {DrawName()}};
  RC_ASSERT(fields_of(topic) == earlier);
  RelayedTopic with_era = topic;
  with_era.era = StoreEra(1);
  std::set<std::string> later = earlier;
  later.insert("era");
  RC_ASSERT(fields_of(with_era) == later);
}

// Guards against relays of the earlier version that this one refuses.
RC_BOOST_PROP(RelayWithoutAnEraIsOfEraZero, ()) {
  nlohmann::json json = nlohmann::json::from_cbor(EncodePeerMessage(StoreRelay{
      .topics = {RelayedTopic{.topic = DrawName(), .era = StoreEra(3)}}}));
  json.at("store_relay").at("topics").at(0).erase("era");
  const auto decoded = DecodePeerMessage(nlohmann::json::to_cbor(json));
  RC_ASSERT(IsOk(decoded));
  RC_ASSERT(std::get<StoreRelay>(ValueOf(decoded)).topics.at(0).era ==
            StoreEra());
}

// Guards against lists of helping hosts that grow with the number of hosts: a
// holder of 195 hosts sends one to each when it begins.
BOOST_AUTO_TEST_CASE(ListOfHelpingHostsIsSmall) {
  DetourLedger ledger;
  for (int i = 0; i < 195; ++i) {
    const std::string name = "host-of-a-data-centre-" + std::to_string(i);
    ledger.OnOffer(DetourOffer{.host = HostId(name),
                               .address = "[2001:db8:0:0:0:0:0:ffff]:65535"});
  }
  const auto changes = ledger.TakeChanges(TimePoint(std::chrono::seconds(1)));
  BOOST_TEST(changes.size() == 195U);
  for (const HostDetours& change : changes) {
    constexpr std::size_t kMaxBytes = 1024;
    BOOST_TEST(EncodePeerMessage(DetourHosts{.hosts = change.helping}).size() <=
               kMaxBytes);
  }
}

RC_BOOST_PROP(ArbitraryBytesYieldMessageOrError, (const Bytes& bytes)) {
  const Result<PeerMessage> message = DecodePeerMessage(bytes);
  if (!IsOk(message)) {
    RC_ASSERT(!ErrorOf(message).message.empty());
  }
}

RC_BOOST_PROP(MutatedMessageYieldsMessageOrError, ()) {
  for (const PeerMessage& message : DrawMessages()) {
    const Bytes bytes = DrawMutation(EncodePeerMessage(message));
    const Result<PeerMessage> decoded = DecodePeerMessage(bytes);
    if (IsOk(decoded)) {
      CheckRoundTrip(ValueOf(decoded));
    } else {
      RC_ASSERT(!ErrorOf(decoded).message.empty());
    }
  }
}

}  // namespace
}  // namespace cicadaloft
