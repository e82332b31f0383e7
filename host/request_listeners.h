#ifndef CICADALOFT_HOST_REQUEST_LISTENERS_H_
#define CICADALOFT_HOST_REQUEST_LISTENERS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/memory_budget.h"
#include "cicadaloft/forwarding/caller_listener.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "host_listeners.h"

namespace cicadaloft {

/// @return the number of descriptors that the process may open.
std::size_t DescriptorLimit();

/// The listeners of a host that take requests: of callers, by each protocol,
/// and of other hosts.
class RequestListeners {
 public:
  /// @param memory of all connections of the host.
  RequestListeners(boost::asio::any_io_executor executor,
                   HostListeners listeners,
                   HostId host,
                   std::shared_ptr<MemoryBudget> memory);

  /// Starts their tasks, which send requests to `entry_inbox`.
  void Start(const std::shared_ptr<EntryTaskMailbox>& entry_inbox) const;
  /// Tells all of them that the host is stopping.
  void NotifyStop() const;
  /// @return the mailboxes of those that there are, for CloseListeners().
  std::vector<std::shared_ptr<StopMailbox>> stops() const;

 private:
  void Spawn(std::string name, boost::asio::awaitable<void> task) const;

  const boost::asio::any_io_executor executor;
  const HostListeners listeners;
  const HostId host;
  const std::shared_ptr<MemoryBudget> memory;
  const std::shared_ptr<StopMailbox> caller_stop;
  const std::shared_ptr<StopMailbox> native_caller_stop;
  const std::shared_ptr<StopMailbox> forwarded_stop;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_HOST_REQUEST_LISTENERS_H_
