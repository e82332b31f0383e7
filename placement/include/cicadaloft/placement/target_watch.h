#ifndef CICADALOFT_PLACEMENT_TARGET_WATCH_H_
#define CICADALOFT_PLACEMENT_TARGET_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/placement/messages.h"
#include "cicadaloft/tickets/config.h"

namespace cicadaloft {

/// What a target last said.
struct TargetSighting {
  std::optional<TargetReport> report;
  TimePoint polled{};    ///< When the last answered poll was sent.
  TimePoint reported{};  ///< When its answer came.
  TimePoint news{};      ///< When it was last passed on.
  TimePoint asked{};     ///< When the last poll was sent.
  bool is_polling = false;
};

/// A report may lag so much behind what the target does.
inline constexpr Duration kMaxReportLag = std::chrono::seconds(2);

/// How a report is to be passed on.
enum class NewsReach {
  kNone,
  kDataCentre,  ///< Its load has changed.
  kAll,         ///< Its models have changed.
};

/// Polls the targets of one data centre.
class TargetWatch {
 public:
  /// @return the targets to poll now.
  std::vector<TargetId> Due(const Config& config,
                            const DataCentreId& data_centre,
                            Duration interval,
                            TimePoint now);

  /// @return who is to hear of the report.
  NewsReach Reported(const TargetReport& report, TimePoint now);
  void Failed(const TargetId& target);

  /// Forgets all reports, at a takeover.
  void Clear() { this->sightings.clear(); }

  /// @return the target's report if it is new enough to act on, or null.
  const TargetReport* FreshReport(const TargetId& target, TimePoint now) const;
  const TargetSighting* Find(const TargetId& target) const;

 private:
  std::map<TargetId, TargetSighting> sightings;
};

/// @return whether the report names the model.
const ReportedModel* FindReported(const TargetReport& report,
                                  const ModelId& model);

/// @return where the target has the model's checkpoint nearest.
CheckpointTier TierOf(const TargetReport& report, const ModelId& model);

}  // namespace cicadaloft

#endif  // CICADALOFT_PLACEMENT_TARGET_WATCH_H_
