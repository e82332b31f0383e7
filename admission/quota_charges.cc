#include "cicadaloft/admission/quota_charges.h"

#include <algorithm>
#include <iterator>

namespace cicadaloft {

void QuotaCharges::Add(const CustomerId& customer, double cost, TimePoint now) {
  std::deque<Charge>& charges = this->charges_by_customer[customer];
  while (!charges.empty() && now - charges.front().at > this->kept_for) {
    charges.pop_front();
  }
  const bool joins_last =
      !charges.empty() && now - charges.back().began_at < kResolution;
  if (joins_last) {
    charges.back().at = now;
    charges.back().cost += cost;
  } else {
    charges.push_back(Charge{.began_at = now, .at = now, .cost = cost});
  }
}

QuotaHistory QuotaCharges::History(const HostId& host, TimePoint now) const {
  QuotaHistory history{.host = host};
  for (const auto& [customer, charges] : this->charges_by_customer) {
    CustomerCharges listed{.customer = customer};
    for (const Charge& charge : charges) {
      if (now - charge.at <= this->kept_for) {
        listed.charges.push_back(
            PastCharge{.age = now - charge.at, .cost = charge.cost});
      }
    }
    if (!listed.charges.empty()) {
      history.customers.push_back(std::move(listed));
    }
  }
  return history;
}

}  // namespace cicadaloft
