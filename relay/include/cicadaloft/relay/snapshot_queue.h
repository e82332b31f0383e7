#ifndef CICADALOFT_RELAY_SNAPSHOT_QUEUE_H_
#define CICADALOFT_RELAY_SNAPSHOT_QUEUE_H_

#include <chrono>
#include <deque>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/relay/messages.h"

namespace cicadaloft {

/// At the lease holder: the hosts that wait for a snapshot of the operator's
/// topic. One read
/// of the store serves all that wait, and what leaves by the holder's link in
/// an interval is bounded as for relays.
class SnapshotQueue {
 public:
  /// Minimum time between two reads, and between the messages to hosts that one
  /// read can't serve within the bound.
  static constexpr Duration kReadInterval = std::chrono::milliseconds(400);

  void OnRequest(const HostId& host);
  void OnLinkDown(const HostId& host);
  void Clear() { *this = SnapshotQueue(); }

  /// @return whether the topic has to be read now. A SnapshotRead follows.
  bool BeginRead(TimePoint now);
  /// @return the hosts that the snapshot is sent to, those first that have
  /// waited longest; the others wait for the next read. None if the call has
  /// failed: the hosts ask again.
  std::vector<HostId> OnRead(const SnapshotRead& read);

 private:
  std::deque<HostId> waiting;
  bool is_reading = false;
  std::optional<TimePoint> read_at;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_SNAPSHOT_QUEUE_H_
