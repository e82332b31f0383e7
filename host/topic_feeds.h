#ifndef CICADALOFT_HOST_TOPIC_FEEDS_H_
#define CICADALOFT_HOST_TOPIC_FEEDS_H_

#include <memory>

#include "cicadaloft/store/keyed_follower.h"
#include "control_mailbox.h"

namespace cicadaloft {

/// Turns what is read of the operator's topic into messages to control.
class OperatorFeed {
 public:
  explicit OperatorFeed(std::shared_ptr<ControlMailbox> control)
      : control(std::move(control)) {}
  void operator()(const FollowerEvent& news) const;

 private:
  std::shared_ptr<ControlMailbox> control;
};

/// Turns what is read of the registry into messages to control.
class RegistryFeed {
 public:
  explicit RegistryFeed(std::shared_ptr<ControlMailbox> control)
      : control(std::move(control)) {}
  void operator()(const FollowerEvent& news) const;

 private:
  std::shared_ptr<ControlMailbox> control;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_TOPIC_FEEDS_H_
