#ifndef CICADALOFT_DUTIES_DUTY_SETTINGS_H_
#define CICADALOFT_DUTIES_DUTY_SETTINGS_H_

#include <compare>
#include <string>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// The calls that the platform expects of all hosts together.
struct DutySettings {
  std::string address;          ///< "IP:port" of the platform.
  double calls_per_second = 0;  ///< That the platform accepts from all hosts.
  bool usage_reports = false;
  bool scaling = false;
  Duration usage_window{};  ///< Length of a window.
  /// A window's report is due this long after the window's end.
  Duration usage_delay{};

  friend auto operator<=>(const DutySettings&, const DutySettings&) = default;
  friend bool operator==(const DutySettings&, const DutySettings&) = default;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DUTIES_DUTY_SETTINGS_H_
