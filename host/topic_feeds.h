#ifndef CICADALOFT_HOST_TOPIC_FEEDS_H_
#define CICADALOFT_HOST_TOPIC_FEEDS_H_

#include <memory>
#include <string>

#include "cicadaloft/relay/messages.h"
#include "cicadaloft/relay/repeated_records.h"
#include "cicadaloft/store/keyed_follower.h"
#include "control_mailbox.h"

namespace cicadaloft {

/// Converts events of the operator topic's follower to events of the control
/// task.
class OperatorFeed {
 public:
  explicit OperatorFeed(std::shared_ptr<ControlMailbox> control_mailbox)
      : control_mailbox(std::move(control_mailbox)) {}
  void operator()(const FollowerEvent& event) const;

 private:
  std::shared_ptr<ControlMailbox> control_mailbox;
};

/// Reports reads of a topic to the control task, which relays them to other
/// hosts. Most records of the registry are heartbeats that change nothing; they
/// are reported without their content.
class StoreReadFeed {
 public:
  explicit StoreReadFeed(std::shared_ptr<ControlMailbox> control_mailbox)
      : control_mailbox(std::move(control_mailbox)) {}
  void operator()(const StoreRead& read);

 private:
  std::string Compact(const std::string& record);

  std::shared_ptr<ControlMailbox> control_mailbox;
  RepeatedRecords registry_records;
};

/// Converts events of the registry topic's follower to events of the control
/// task.
class RegistryFeed {
 public:
  explicit RegistryFeed(std::shared_ptr<ControlMailbox> control_mailbox)
      : control_mailbox(std::move(control_mailbox)) {}
  void operator()(const FollowerEvent& event) const;

 private:
  std::shared_ptr<ControlMailbox> control_mailbox;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_TOPIC_FEEDS_H_
