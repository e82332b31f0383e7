#ifndef CICADALOFT_FORWARDING_ENTRY_METRICS_H_
#define CICADALOFT_FORWARDING_ENTRY_METRICS_H_

#include <string>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/forwarding/admin_messages.h"
#include "cicadaloft/telemetry/metrics.h"

namespace cicadaloft {

/// Counts and latencies of one entry. Part of the node task.
class EntryMetrics {
 public:
  void CountDecision(const std::string& reason);
  void CountRefusal(ErrorKind kind);
  /// @param since_arrival until the first byte of the answer.
  void CountStart(Duration since_arrival);
  /// @param since_arrival until the end of the answer.
  void CountAnswer(int http_status, Duration since_arrival);
  /// Counts a message for which the link had no room.
  void CountLostMessage();

  MetricsReply Read(const StatusReply& status);

 private:
  Metrics metrics;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_METRICS_H_
