#include "request_listeners.h"

#include <sys/resource.h>

#include <chrono>
#include <cstddef>
#include <limits>
#include <utility>

#include "cicadaloft/core/spawn.h"
#include "cicadaloft/forwarding/descriptor_limits.h"
#include "cicadaloft/forwarding/forwarding_settings.h"
#include "cicadaloft/own_interface/native_protocol.h"
#include "cicadaloft/platform/protocols.h"
#include "cicadaloft/telemetry/log.h"

namespace cicadaloft {
namespace {

/// @return the prefix of the request ids that this process assigns.
std::string RequestIdPrefix(const HostId& host) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return host.value() + "-" + std::to_string(ms);
}

/// @return the number of callers that a listener may serve with these
/// descriptors.
std::size_t CallerConnectionLimit(std::size_t descriptors,
                                  std::size_t listener_count) {
  const std::size_t limit = MaxCallerConnections(descriptors, listener_count);
  if (limit < kMaxCallerConnections) {
    Log("host").Warn("at most " + std::to_string(limit) +
                     " callers a listener, as the process has " +
                     std::to_string(descriptors) + " descriptors");
  }
  return limit;
}

/// @return null if there is no such listener.
std::shared_ptr<StopMailbox> MakeStopMailbox(
    const boost::asio::any_io_executor& executor,
    const HostListeners::Acceptor& acceptor) {
  return acceptor == nullptr ? nullptr
                             : std::make_shared<StopMailbox>(executor, 1);
}

}  // namespace

std::size_t DescriptorLimit() {
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    Log("host").Warn("the limit on descriptors can't be read");
    return std::numeric_limits<std::size_t>::max();
  }
  return descriptors.rlim_cur;
}

RequestListeners::RequestListeners(boost::asio::any_io_executor executor,
                                   HostListeners listeners,
                                   HostId host,
                                   std::shared_ptr<MemoryBudget> memory)
    : executor(std::move(executor)),
      listeners(std::move(listeners)),
      host(std::move(host)),
      memory(std::move(memory)),
      caller_stop(MakeStopMailbox(this->executor, this->listeners.caller)),
      native_caller_stop(
          MakeStopMailbox(this->executor, this->listeners.native_caller)),
      forwarded_stop(
          MakeStopMailbox(this->executor, this->listeners.forwarded)) {}

void RequestListeners::Start(
    const std::shared_ptr<EntryTaskMailbox>& entry_inbox) const {
  const std::size_t descriptors = DescriptorLimit();
  const std::string prefix = RequestIdPrefix(this->host);
  const CallerLimits limits{
      .max_connections = CallerConnectionLimit(
          descriptors, this->listeners.native_caller == nullptr ? 1 : 2),
      .memory = this->memory};
  this->Spawn("callers", RunCallerListener<platform::ClientProtocol>(
                             this->listeners.caller, prefix, entry_inbox,
                             this->caller_stop, limits));
  if (this->listeners.native_caller != nullptr) {
    this->Spawn("native callers",
                RunCallerListener<NativeProtocol>(
                    this->listeners.native_caller, prefix + "-own", entry_inbox,
                    this->native_caller_stop, limits));
  }
  if (this->listeners.forwarded != nullptr) {
    const CallerLimits forwarded_limits{
        .max_connections = MaxForwardedConnections(descriptors),
        .max_rejected_connections = kMaxRejectedForwardedConnections,
        .idle_timeout = kForwardedIdleTimeout,
        .memory = this->memory};
    this->Spawn("forwarded requests",
                RunCallerListener<platform::ForwardedProtocol>(
                    this->listeners.forwarded, prefix + "-fwd", entry_inbox,
                    this->forwarded_stop, forwarded_limits));
  }
}

// Nothing restarts a listener: without it the host would live on and not serve.
void RequestListeners::Spawn(std::string name,
                             boost::asio::awaitable<void> task) const {
  cicadaloft::Spawn(this->executor, std::move(name), std::move(task),
                    EndProcess{});
}

std::vector<std::shared_ptr<StopMailbox>> RequestListeners::stops() const {
  std::vector<std::shared_ptr<StopMailbox>> mailboxes = {
      this->caller_stop, this->native_caller_stop, this->forwarded_stop};
  std::erase(mailboxes, nullptr);
  return mailboxes;
}

void RequestListeners::NotifyStop() const {
  for (const auto& mailbox : this->stops()) {
    Post(*mailbox, HostStopping{});
  }
}

}  // namespace cicadaloft
