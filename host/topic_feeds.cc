#include "topic_feeds.h"

#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/platform/configuration_codec.h"
#include "cicadaloft/platform/registry_codec.h"
#include "cicadaloft/platform/topic_codec.h"

namespace cicadaloft {
namespace {

void Tell(ControlMailbox& control, ControlEvent event) {
  Post(control, std::move(event));
}

void TellRefused(ControlMailbox& control,
                 const char* topic,
                 const std::string& reason) {
  Tell(control, RecordRejected{.topic = topic, .reason = reason});
}

void TellOperatorRecord(ControlMailbox& control, const KeyedRecord& record) {
  std::visit(
      Overloaded{
          [&](Configuration configuration) {
            Tell(control, ConfigurationRead{
                              .configuration =
                                  std::make_shared<const ActiveConfiguration>(
                                      std::move(configuration))});
          },
          [&](const platform::Evacuation& evacuation) {
            Tell(control,
                 EvacuationRequest{.data_centre = evacuation.data_centre,
                                   .is_requested = evacuation.is_requested});
          },
          [&](const Error& error) {
            TellRefused(control, platform::kOperatorTopic, error.message);
          },
          [](const platform::IgnoredRecord&) {}},
      platform::DecodeOperatorRecord(record));
}

void TellWholeOperatorTopic(ControlMailbox& control,
                            const TopicSnapshot& read) {
  std::set<DataCentreId> evacuated;
  for (const KeyedRecord& record : read.records) {
    const auto data_centre = platform::ParseEvacuationKey(record.key);
    if (data_centre && record.value) {
      evacuated.insert(*data_centre);
    } else {
      TellOperatorRecord(control, record);
    }
  }
  Tell(control, EvacuationsRead{.data_centres = std::move(evacuated)});
}

void TellRegistryRecord(ControlMailbox& control, const KeyedRecord& record) {
  std::visit(
      Overloaded{[&](const Error& error) {
                   TellRefused(control, platform::kRegistryTopic,
                               error.message);
                 },
                 [&](const auto& event) { Tell(control, FleetEvent(event)); }},
      platform::DecodeRegistryRecord(record));
}

void TellWholeRegistry(ControlMailbox& control, const TopicSnapshot& read) {
  std::vector<TargetRecordPtr> records;
  for (const KeyedRecord& record : read.records) {
    const auto decoded = platform::DecodeRegistryRecord(record);
    if (const auto* seen = std::get_if<TargetUpdated>(&decoded)) {
      records.push_back(seen->record);
    } else if (const auto* error = std::get_if<Error>(&decoded)) {
      TellRefused(control, platform::kRegistryTopic, error->message);
    }
  }
  Tell(control, FleetEvent(RegistryRead{.records = std::move(records)}));
}

}  // namespace

void OperatorFeed::operator()(const FollowerEvent& news) const {
  ControlMailbox& to = *this->control;
  std::visit(
      Overloaded{
          [&](const TopicSnapshot& read) { TellWholeOperatorTopic(to, read); },
          [&](const KeyChanged& change) {
            TellOperatorRecord(to, change.record);
          },
          [&](const StoreReachability& reachable) {
            Tell(to, OperatorTopicReachability{
                         .is_reachable = reachable.is_reachable,
                         .reason = reachable.reason});
          },
          [&](const RecordSkipped& skipped) {
            TellRefused(to, platform::kOperatorTopic, skipped.reason);
          }},
      news);
}

void RegistryFeed::operator()(const FollowerEvent& news) const {
  ControlMailbox& to = *this->control;
  std::visit(
      Overloaded{
          [&](const TopicSnapshot& read) { TellWholeRegistry(to, read); },
          [&](const KeyChanged& change) {
            TellRegistryRecord(to, change.record);
          },
          [&](const StoreReachability& reachable) {
            Tell(to, FleetEvent(RegistryReachability{
                         .is_reachable = reachable.is_reachable}));
          },
          [&](const RecordSkipped& skipped) {
            TellRefused(to, platform::kRegistryTopic, skipped.reason);
          }},
      news);
}

}  // namespace cicadaloft
