#ifndef CICADALOFT_ENTRY_OPEN_REQUEST_H_
#define CICADALOFT_ENTRY_OPEN_REQUEST_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cicadaloft/entry/messages.h"

namespace cicadaloft {

/// Requests of one line can be served by the same targets.
struct LineKey {
  ServiceId service;
  std::optional<ModelPath> model;

  friend auto operator<=>(const LineKey&, const LineKey&) = default;
  friend bool operator==(const LineKey&, const LineKey&) = default;
};

/// A request that has been admitted and not ended. It holds on to the
/// configuration under which it was admitted.
struct OpenRequest {
  RequestArrived arrival;
  TimePoint arrived;
  std::uint64_t number = 0;  ///< In order of arrival.
  ActiveConfigurationPtr configuration;
  const Route* route = nullptr;
  const Customer* customer = nullptr;  ///< Null on public routes.
  LineKey line;
  double cost = 1;          ///< In the customer's unit.
  TimePoint ends_at{};      ///< No answer may take longer.
  TimePoint gives_up_at{};  ///< No wait may take longer.
  /// While the holder is asked for its cost.
  std::optional<TimePoint> draw_ends_at;
  bool is_drawn = false;  ///< Its cost is spent at the holder, not here.
  AttemptNumber attempt;
  bool is_running = false;
  bool has_started = false;    ///< The caller has part of an answer.
  std::uint32_t runs = 0;      ///< Attempts that may have run.
  std::uint32_t arrivals = 0;  ///< Attempts that may have reached a target.
  TargetId target;             ///< Of the running attempt.
  TargetInstance instance;
  /// Targets that have failed it, and until when they get it no more.
  std::map<TargetId, TimePoint> avoided;

  bool Avoids(const TargetId& target, TimePoint now) const {
    const auto found = this->avoided.find(target);
    return found != this->avoided.end() && now < found->second;
  }
  /// @return the customer's name; empty on public routes.
  CustomerId CustomerName() const {
    return this->customer == nullptr ? CustomerId() : this->customer->id;
  }
  /// @return what it needs to be loaded, for logs.
  std::string ModelText() const {
    return this->line.model ? this->line.model->ToString() : "-";
  }
  bool IsBatch() const;
  /// @return the priority that goes to targets.
  int Rank() const;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_OPEN_REQUEST_H_
