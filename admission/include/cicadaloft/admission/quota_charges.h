#ifndef CICADALOFT_ADMISSION_QUOTA_CHARGES_H_
#define CICADALOFT_ADMISSION_QUOTA_CHARGES_H_

#include <chrono>
#include <deque>
#include <map>

#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"

namespace cicadaloft {

/// At each host: what lease holders have recently granted it of their pools.
class QuotaCharges {
 public:
  /// Charges that are granted within this time of each other are added up and
  /// count from the last one.
  static constexpr Duration kResolution = std::chrono::milliseconds(250);

  /// @param kept_for how long charges are remembered.
  explicit QuotaCharges(Duration kept_for) : kept_for(kept_for) {}

  void Add(const CustomerId& customer, double cost, TimePoint now);
  QuotaHistory History(const HostId& host, TimePoint now) const;

 private:
  struct Charge {
    TimePoint began_at{};
    TimePoint at{};
    double cost = 0;
  };

  Duration kept_for;
  std::map<CustomerId, std::deque<Charge>> charges_by_customer;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_QUOTA_CHARGES_H_
