#ifndef CICADALOFT_FORWARDING_ENTRY_METRICS_H_
#define CICADALOFT_FORWARDING_ENTRY_METRICS_H_

#include <string>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/entry/messages.h"
#include "cicadaloft/forwarding/admin_messages.h"
#include "cicadaloft/forwarding/entry_task_messages.h"
#include "cicadaloft/store/store_call.h"
#include "cicadaloft/telemetry/metrics.h"

namespace cicadaloft {

/// Counters and latencies of one entry. Part of the entry task.
class EntryMetrics {
 public:
  /// A host takes its targets for reached until it knows better.
  EntryMetrics() { this->SetReachesTargets(true); }

  void CountDecision(const std::string& event);
  void CountRefusal(ErrorKind kind);
  /// @param since_arrival until the first byte of the response.
  void RecordFirstByte(Duration since_arrival);
  /// @param since_arrival until the end of the response.
  void RecordResponse(int http_status, Duration since_arrival);
  void RecordWait(const WaitMeasured& wait);
  /// Records the estimate of a run beside what happened.
  void RecordRun(const RunMeasured& run);
  /// Counts an attempt over another host.
  void CountForwardedRequest();
  /// Counts a request that another host has forwarded to this one.
  void CountTakenRequest();
  void CountProbe(bool is_reached);
  void SetReachesTargets(bool reaches_targets);
  /// @param version that this host has read; a lower one than before is not in
  /// force.
  void SetConfiguration(ConfigurationVersion version);
  /// @param version that another host has.
  void SetHeardConfiguration(ConfigurationVersion version);
  /// Counts a message that was dropped because the control mailbox was full.
  void CountDroppedMessage();
  /// Counts a call of the store by this host.
  void CountStoreCall(const StoreCallEnded& ended);

  void Replace(const GaugeReplaced& gauge);
  /// @param outcome what became of a window of usage reports.
  void CountUsageWindow(const std::string& outcome);

  MetricsReply Render(const StatusReply& status);

 private:
  void RenderConfiguration();

  Metrics metrics;
  ConfigurationVersion configuration;
  ConfigurationVersion newest_configuration;  ///< Of this host and others.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_METRICS_H_
