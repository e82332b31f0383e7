#include "topic_feeds.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/platform/configuration_codec.h"
#include "cicadaloft/platform/registry_codec.h"
#include "cicadaloft/platform/store_client.h"
#include "cicadaloft/platform/topic_codec.h"

namespace cicadaloft {
namespace {

void SendToControl(ControlMailbox& mailbox, ControlEvent event) {
  Post(mailbox, std::move(event));
}

void ReportRejectedRecord(ControlMailbox& mailbox,
                          const char* topic,
                          const std::string& reason) {
  SendToControl(mailbox, RecordRejected{.topic = topic, .reason = reason});
}

void SendOperatorRecord(ControlMailbox& mailbox, const KeyedRecord& record) {
  std::visit(
      Overloaded{[&](Configuration configuration) {
                   SendToControl(
                       mailbox,
                       ConfigurationRead{
                           .configuration =
                               std::make_shared<const ActiveConfiguration>(
                                   std::move(configuration),
                                   record.value.value_or(""))});
                 },
                 [&](const platform::Evacuation& evacuation) {
                   SendToControl(mailbox,
                                 EvacuationRequest{
                                     .data_centre = evacuation.data_centre,
                                     .is_requested = evacuation.is_requested});
                 },
                 [&](const Error& error) {
                   ReportRejectedRecord(mailbox, platform::kOperatorTopic,
                                        error.message);
                 },
                 [](const platform::IgnoredRecord&) {}},
      platform::DecodeOperatorRecord(record));
}

void SendOperatorSnapshot(ControlMailbox& mailbox,
                          const TopicSnapshot& snapshot) {
  std::set<DataCentreId> evacuated;
  for (const KeyedRecord& record : snapshot.records) {
    const auto data_centre = platform::ParseEvacuationKey(record.key);
    if (data_centre && record.value) {
      evacuated.insert(*data_centre);
    } else {
      SendOperatorRecord(mailbox, record);
    }
  }
  SendToControl(mailbox, EvacuationsRead{.data_centres = std::move(evacuated),
                                         .is_restored = snapshot.is_restored,
                                         .is_relayed = snapshot.is_relayed});
}

void SendRegistryRecord(ControlMailbox& mailbox, const KeyedRecord& record) {
  std::visit(Overloaded{[&](const Error& error) {
                          ReportRejectedRecord(
                              mailbox, platform::kRegistryTopic, error.message);
                        },
                        [&](const auto& event) {
                          SendToControl(mailbox, FleetEvent(event));
                        }},
             platform::DecodeRegistryRecord(record));
}

void SendRegistrySnapshot(ControlMailbox& mailbox,
                          const TopicSnapshot& snapshot) {
  std::vector<TargetRecordPtr> records;
  for (const KeyedRecord& record : snapshot.records) {
    const auto decoded = platform::DecodeRegistryRecord(record);
    if (const auto* updated = std::get_if<TargetUpdated>(&decoded)) {
      records.push_back(updated->record);
    } else if (const auto* error = std::get_if<Error>(&decoded)) {
      ReportRejectedRecord(mailbox, platform::kRegistryTopic, error->message);
    }
  }
  SendToControl(mailbox,
                FleetEvent(RegistryRead{.records = std::move(records),
                                        .is_restored = snapshot.is_restored}));
}

}  // namespace

void OperatorFeed::operator()(const FollowerEvent& event) const {
  ControlMailbox& mailbox = *this->control_mailbox;
  std::visit(
      Overloaded{[&](const TopicSnapshot& snapshot) {
                   SendOperatorSnapshot(mailbox, snapshot);
                 },
                 [&](const KeyChanged& change) {
                   SendOperatorRecord(mailbox, change.record);
                 },
                 [](const TopicCaughtUp&) {},
                 [&](const StoreReachability& reachability) {
                   SendToControl(mailbox,
                                 OperatorTopicReachability{
                                     .is_reachable = reachability.is_reachable,
                                     .reason = reachability.reason});
                 },
                 [&](const RecordSkipped& skipped) {
                   ReportRejectedRecord(mailbox, platform::kOperatorTopic,
                                        skipped.reason);
                 }},
      event);
}

void StoreReadFeed::operator()(const StoreRead& read) {
  if (read.topic != platform::kRegistryTopic) {
    SendToControl(*this->control_mailbox, read);
    return;
  }
  this->registry_records.OnRead(read.era, read.from, read.records.size());
  std::vector<std::string> compact;
  std::ranges::transform(
      read.records, std::back_inserter(compact),
      [this](const std::string& record) { return this->Compact(record); });
  SendToControl(*this->control_mailbox, StoreRead{.topic = read.topic,
                                                  .from = read.from,
                                                  .records = std::move(compact),
                                                  .sent_at = read.sent_at,
                                                  .era = read.era});
}

std::string StoreReadFeed::Compact(const std::string& record) {
  std::string compact = platform::CompactRegistryRecord(record);
  const Result<KeyedRecord> keyed = platform::DecodeKeyedRecord(compact);
  const bool is_repeated =
      IsOk(keyed) && this->registry_records.IsRepeated(ValueOf(keyed).key,
                                                       ValueOf(keyed).value);
  return is_repeated ? platform::RegistryRecordWithoutChange() : compact;
}

void RegistryFeed::operator()(const FollowerEvent& event) const {
  ControlMailbox& mailbox = *this->control_mailbox;
  std::visit(
      Overloaded{
          [&](const TopicSnapshot& snapshot) {
            SendRegistrySnapshot(mailbox, snapshot);
          },
          [&](const KeyChanged& change) {
            SendRegistryRecord(mailbox, change.record);
          },
          [&](const TopicCaughtUp& caught_up) {
            SendToControl(mailbox, RegistryCaughtUp{.at = caught_up.at,
                                                    .era = caught_up.era});
          },
          [&](const StoreReachability& reachability) {
            SendToControl(mailbox,
                          FleetEvent(RegistryReachability{
                              .is_reachable = reachability.is_reachable}));
          },
          [&](const RecordSkipped& skipped) {
            ReportRejectedRecord(mailbox, platform::kRegistryTopic,
                                 skipped.reason);
          }},
      event);
}

}  // namespace cicadaloft
