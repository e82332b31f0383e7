#include "cicadaloft/forwarding/entry_metrics.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace cicadaloft {

void EntryMetrics::CountDecision(const std::string& event) {
  this->metrics.AddToCounter(
      MetricKey{.name = "cicadaloft_entry_decisions_total",
                .labels = {{"reason", event}}});
}

void EntryMetrics::CountRefusal(ErrorKind kind) {
  const std::string token(GetErrorInfo(kind).token);
  this->metrics.AddToCounter(MetricKey{
      .name = "cicadaloft_entry_refusals_total", .labels = {{"kind", token}}});
}

void EntryMetrics::RecordFirstByte(Duration since_arrival) {
  this->metrics.Observe(
      MetricKey{.name = "cicadaloft_entry_first_byte_seconds"}, since_arrival);
}

void EntryMetrics::RecordResponse(int http_status, Duration since_arrival) {
  const std::string status = std::to_string(http_status);
  this->metrics.AddToCounter(MetricKey{.name = "cicadaloft_entry_answers_total",
                                       .labels = {{"status", status}}});
  this->metrics.Observe(MetricKey{.name = "cicadaloft_entry_answer_seconds"},
                        since_arrival);
}

void EntryMetrics::RecordWait(const WaitMeasured& wait) {
  this->metrics.Observe(
      MetricKey{.name = "cicadaloft_entry_queue_wait_seconds"}, wait.actual);
  if (wait.expected) {
    this->metrics.Observe(
        MetricKey{.name = "cicadaloft_entry_estimated_queue_wait_seconds"},
        *wait.expected);
  }
}

void EntryMetrics::RecordRun(const RunMeasured& run) {
  const auto observe = [this](const char* name, const char* what,
                              Duration time) {
    this->metrics.Observe(MetricKey{.name = name, .labels = {{"what", what}}},
                          time);
  };
  const auto record = [&](const char* name, Duration estimated,
                          Duration actual) {
    observe(name, "estimated", estimated);
    observe(name, "actual", actual);
    observe(name, "error", std::chrono::abs(estimated - actual));
  };
  record("cicadaloft_entry_first_token_seconds", run.estimated_first_token,
         run.first_token);
  if (run.interval) {
    record("cicadaloft_entry_event_interval_seconds", run.estimated_interval,
           *run.interval);
  }
  const auto count = [this](const char* what, double tokens) {
    this->metrics.AddToCounter(
        MetricKey{.name = "cicadaloft_entry_prompt_tokens_total",
                  .labels = {{"what", what}}},
        static_cast<std::uint64_t>(tokens));
  };
  count("cached", run.estimated_cached_tokens);
  count("all", run.prompt_tokens);
}

void EntryMetrics::CountForwardedRequest() {
  this->metrics.AddToCounter(
      MetricKey{.name = "cicadaloft_entry_forwarded_requests_total"});
}

void EntryMetrics::CountTakenRequest() {
  this->metrics.AddToCounter(
      MetricKey{.name = "cicadaloft_entry_taken_requests_total"});
}

void EntryMetrics::CountProbe(bool is_reached) {
  this->metrics.AddToCounter(MetricKey{
      .name = "cicadaloft_entry_target_probes_total",
      .labels = {{"outcome", is_reached ? "reached" : "not_reached"}}});
}

void EntryMetrics::SetReachesTargets(bool reaches_targets) {
  this->metrics.SetGauge(MetricKey{.name = "cicadaloft_entry_reaches_targets"},
                         reaches_targets ? 1 : 0);
}

void EntryMetrics::SetConfiguration(ConfigurationVersion version) {
  this->configuration = std::max(this->configuration, version);
  this->SetHeardConfiguration(version);
}

void EntryMetrics::SetHeardConfiguration(ConfigurationVersion version) {
  this->newest_configuration = std::max(this->newest_configuration, version);
}

void EntryMetrics::RenderConfiguration() {
  const auto set = [this](const char* name, ConfigurationVersion version) {
    this->metrics.SetGauge(MetricKey{.name = name},
                           static_cast<double>(version.value()));
  };
  set("cicadaloft_configuration_version", this->configuration);
  set("cicadaloft_configuration_newest_version", this->newest_configuration);
}

void EntryMetrics::CountDroppedMessage() {
  this->metrics.AddToCounter(
      MetricKey{.name = "cicadaloft_entry_lost_link_messages_total"});
}

void EntryMetrics::CountStoreCall(const StoreCallEnded& ended) {
  this->metrics.AddToCounter(
      MetricKey{.name = "cicadaloft_store_calls_total",
                .labels = {{"call", std::string(Name(ended.call))},
                           {"topic", ended.topic},
                           {"outcome", std::string(Name(ended.outcome))}}});
}

void EntryMetrics::Replace(const GaugeReplaced& gauge) {
  this->metrics.ReplaceGauge(gauge.name, gauge.series);
}

void EntryMetrics::CountUsageWindow(const std::string& outcome) {
  this->metrics.AddToCounter(MetricKey{.name = "cicadaloft_usage_windows_total",
                                       .labels = {{"outcome", outcome}}});
}

MetricsReply EntryMetrics::Render(const StatusReply& status) {
  this->RenderConfiguration();
  const auto set = [this](const char* name, double value) {
    this->metrics.SetGauge(MetricKey{.name = name}, value);
  };
  set("cicadaloft_entry_ready", status.is_ready ? 1 : 0);
  set("cicadaloft_entry_open_requests",
      static_cast<double>(status.open_requests));
  set("cicadaloft_entry_running_attempts",
      static_cast<double>(status.running_attempts));
  return MetricsReply{.text = this->metrics.Render()};
}

}  // namespace cicadaloft
