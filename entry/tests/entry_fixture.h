#ifndef CICADALOFT_ENTRY_TESTS_ENTRY_FIXTURE_H_
#define CICADALOFT_ENTRY_TESTS_ENTRY_FIXTURE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/core/sha256.h"
#include "cicadaloft/entry/entry_node.h"

namespace cicadaloft {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const Member kSelf{.host = HostId("h1"), .incarnation = Incarnation(1)};
inline const DataCentreId kDataCentre("dc");
inline const std::string kCredential = "k.secret";

inline DataCentre MakeDataCentre(
    const std::string& id,
    DataCentreState state = DataCentreState::kInService) {
  return DataCentre{.id = DataCentreId(id),
                    .region = RegionId("r"),
                    .state = state,
                    .share_weight = 1};
}

inline ApiKey MakeKey() {
  return ApiKey{.id = KeyId("k"),
                .customer = CustomerId("c"),
                .salt = "aa",
                .secret_hash = Sha256Hex("aasecret")};
}

inline Target MakeTarget(const std::string& id,
                         const std::string& back_end,
                         const std::string& data_centre = "dc") {
  return Target{.id = TargetId(id),
                .back_end = BackEndId(back_end),
                .data_centre = DataCentreId(data_centre),
                .address = "127.0.0.1:1",
                .memory_mib = 1000,
                .max_concurrency = 4};
}

inline ModelRoute MakeModel(const std::string& model) {
  return ModelRoute{.model = ModelId(model),
                    .back_end = BackEndId("engines"),
                    .memory_mib = 100,
                    .max_replicas = 4};
}

/// One customer, two engines, one plain service.
inline std::vector<Item> BasicItems() {
  return {MakeDataCentre("dc"),
          Customer{.id = CustomerId("c"),
                   .requests_per_second = 100,
                   .burst_requests = 100},
          MakeKey(),
          BackEnd{.id = BackEndId("engines")},
          BackEnd{.id = BackEndId("desk"), .kind = BackEndKind::kPlain},
          MakeTarget("e1", "engines"),
          MakeTarget("e2", "engines"),
          MakeTarget("d1", "desk"),
          MakeModel("m"),
          PlainRoute{.route = RouteId("desk"),
                     .back_end = BackEndId("desk"),
                     .methods = {"GET", "POST"},
                     .idempotent_methods = {"GET"}}};
}

inline RequestArrived ModelRequest(const std::string& id,
                                   const std::string& model = "m") {
  return RequestArrived{.request = RequestId(id),
                        .credential = kCredential,
                        .call = ModelCall{.model = ModelId(model)},
                        .timeout = seconds(10),
                        .fingerprint = std::hash<std::string>()(id)};
}

inline RequestArrived ServiceRequest(const std::string& id,
                                     const std::string& method) {
  return RequestArrived{
      .request = RequestId(id),
      .credential = kCredential,
      .call = ServiceCall{.route = RouteId("desk"), .method = method},
      .timeout = seconds(10),
      .fingerprint = std::hash<std::string>()(id)};
}

/// Drives one entry on a virtual clock and stands in for its steward.
class EntryFixture {
 public:
  EntryFixture()
      : state(EntrySettings{.host = kSelf.host, .data_centre = kDataCentre}) {}

  /// Hands an event in and keeps the effects.
  std::vector<EntryEffect> Handle(const EntryEvent& event) {
    auto step = Decide(std::move(this->state), event, this->now);
    this->state = std::move(step.state);
    std::ranges::copy(step.effects, std::back_inserter(this->all));
    return step.effects;
  }

  std::vector<EntryEffect> Receive(LinkMessage message,
                                   const HostId& from = kSelf.host) {
    return this->Handle(LinkReceived{
        .envelope = Envelope{
            .from = from, .to = kSelf.host, .message = std::move(message)}});
  }

  /// Lets time pass with ticks.
  std::vector<EntryEffect> Pass(Duration time) {
    std::vector<EntryEffect> effects;
    const TimePoint end = this->now + time;
    while (this->now < end) {
      this->now += kEntryTickInterval;
      const auto some = this->Handle(EntryTick{});
      std::ranges::copy(some, std::back_inserter(effects));
    }
    return effects;
  }

  /// Relays a record as the own steward's.
  std::vector<EntryEffect> Relay(RecordBody body) {
    return this->RelayOf(kSelf, std::move(body));
  }

  std::vector<EntryEffect> RelayOf(const Member& writer, RecordBody body) {
    const LogOffset at(this->next_offset++);
    return this->Receive(RelayRecords{
        .records = {PlacedRecord{
            .offset = at,
            .record = LogRecord{.writer = writer,
                                .sequence = SequenceNumber(this->next_offset),
                                .body = std::move(body)}}},
        .next = at.Next()});
  }

  std::vector<EntryEffect> RelayTicket(std::vector<Item> items,
                                       std::vector<ItemRef> removed = {}) {
    return this->Relay(TicketRecord{
        .ticket = Ticket{.number = TicketNumber(++this->next_ticket),
                         .author = "a",
                         .items = std::move(items),
                         .removed = std::move(removed)}});
  }

  void Join(const Member& member, const std::string& data_centre = "dc") {
    this->RelayOf(member, JoinRecord{.member = member,
                                     .data_centre = DataCentreId(data_centre),
                                     .peer_address = "127.0.0.1:2"});
  }

  /// Decides and confirms a load.
  std::vector<EntryEffect> Load(const std::string& target,
                                const std::string& model) {
    this->Relay(PlacementRecord{.target = TargetId(target),
                                .model = ModelId(model),
                                .instance = TargetInstance(1)});
    return this->Relay(
        PlacementOutcomeRecord{.target = TargetId(target),
                               .model = ModelId(model),
                               .instance = TargetInstance(1),
                               .outcome = PlacementOutcome::kLoaded});
  }

  void StartTargets(const std::vector<std::string>& targets) {
    for (const std::string& target : targets) {
      this->Relay(TargetInstanceRecord{.target = TargetId(target),
                                       .instance = TargetInstance(1)});
    }
  }

  /// A configured member with a full bucket.
  void SetUp() {
    this->Handle(LinkChanged{.is_up = true});
    this->Join(kSelf);
    this->RelayTicket(BasicItems());
    this->StartTargets({"e1", "e2", "d1"});
    this->Receive(ShareLease{.usable = true, .confirmed_at = LogOffset(1000)});
    this->Pass(seconds(2));
  }

  std::vector<EntryEffect> End(const Dispatch& dispatch,
                               AttemptOutcome outcome,
                               int http_status = 0) {
    return this->Handle(AttemptEnded{.request = dispatch.request,
                                     .attempt = dispatch.attempt,
                                     .outcome = outcome,
                                     .http_status = http_status});
  }

  EntryState state;
  TimePoint now{seconds(100)};
  std::vector<EntryEffect> all;
  std::uint64_t next_offset = 0;
  std::uint64_t next_ticket = 0;
};

/// @return the effects of one type.
template <typename T>
std::vector<T> Only(const std::vector<EntryEffect>& effects) {
  std::vector<T> found;
  for (const EntryEffect& effect : effects) {
    if (const T* one = std::get_if<T>(&effect)) {
      found.push_back(*one);
    }
  }
  return found;
}

/// @return the messages of one type that were sent, with their receivers.
template <typename T>
std::vector<std::pair<HostId, T>> Sent(
    const std::vector<EntryEffect>& effects) {
  std::vector<std::pair<HostId, T>> found;
  for (const SendLink& send : Only<SendLink>(effects)) {
    if (const T* one = std::get_if<T>(&send.envelope.message)) {
      found.emplace_back(send.envelope.to, *one);
    }
  }
  return found;
}

/// @return the kinds of all refusals.
inline std::vector<ErrorKind> Refusals(
    const std::vector<EntryEffect>& effects) {
  std::vector<ErrorKind> kinds;
  for (const Refuse& refuse : Only<Refuse>(effects)) {
    kinds.push_back(refuse.error.kind);
  }
  return kinds;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_TESTS_ENTRY_FIXTURE_H_
