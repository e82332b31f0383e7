#ifndef CICADALOFT_FORWARDING_ENTRY_METRICS_H_
#define CICADALOFT_FORWARDING_ENTRY_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/forwarding/admin_messages.h"

namespace cicadaloft {

/// Counts and latencies of one entry. Part of the node task.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();
  EntryMetrics(EntryMetrics&&) = delete;

  void CountDecision(const std::string& reason);
  void CountRefusal(ErrorKind kind);
  /// @param since_arrival until the first byte of the answer.
  void CountStart(Duration since_arrival);
  /// @param since_arrival until the end of the answer.
  void CountAnswer(int http_status, Duration since_arrival);

  MetricsReply Read(const StatusReply& status) const;

 private:
  struct Latencies;

  std::map<std::string, std::uint64_t> decisions;
  std::map<ErrorKind, std::uint64_t> refusals;
  std::map<int, std::uint64_t> answers;
  const std::unique_ptr<Latencies> latencies;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_ENTRY_METRICS_H_
