#ifndef CICADALOFT_ADMISSION_SERVICE_RANKS_H_
#define CICADALOFT_ADMISSION_SERVICE_RANKS_H_

#include <compare>
#include <map>
#include <vector>

#include "cicadaloft/admission/rank.h"
#include "cicadaloft/configuration/configuration.h"

namespace cicadaloft {

/// The ranks of the requests to one service that is served by rank.
class ServiceRanks {
 public:
  /// Priority that is sent to targets with work that its caller has marked as
  /// batch.
  static constexpr int kBatchUrgency = 7;

  /// @param ranks all ranks that the service's requests can have.
  /// @param first_tolerant the first rank that has a route with a long latency
  /// objective.
  ServiceRanks(std::vector<Rank> ranks, const Rank& first_tolerant);

  /// @return the priority that is sent to targets, from 0 (first) to 9. A
  /// target preempts running requests of lower priority. Ranks from the first
  /// tolerant one on get the same, so that no request that can wait preempts
  /// another.
  int UrgencyOf(const Rank& rank) const;

  friend auto operator<=>(const ServiceRanks&, const ServiceRanks&) = default;
  friend bool operator==(const ServiceRanks&, const ServiceRanks&) = default;

 private:
  std::vector<Rank> ranks;  ///< In ascending order.
  Rank first_tolerant;
};

/// @return the services that are served by rank: those with a route that has a
/// long latency objective and a higher rank than one with a shorter objective.
/// Ranks of customers alone don't count: interactive requests would wait behind
/// delay-tolerant ones of other customers.
std::map<ServiceId, ServiceRanks> FindRankedServices(
    const Configuration& configuration);

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SERVICE_RANKS_H_
