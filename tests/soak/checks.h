#ifndef CICADALOFT_TESTS_SOAK_CHECKS_H_
#define CICADALOFT_TESTS_SOAK_CHECKS_H_

#include <vector>

#include "records.h"

namespace cicadaloft::soak {

/// Bounds that the deployment publishes.
constexpr Millis kStabilityWindow = 3000;
constexpr Millis kGracePeriod = 8000;
constexpr Millis kLossSlack = 200;
constexpr Millis kAnswerSlack = 500;
constexpr Millis kRecovery = 12000;
constexpr Millis kReadyWithin = 10000;
constexpr int kMemoryMb = 260;
constexpr Millis kHandoverDelay = 3000;

/// Hosts that end by themselves, end otherwise than asked, don't become ready
/// or exceed their memory.
std::vector<Violation> CheckFaults(const Evidence& evidence);

/// Requests that were sent to a calm host and got no complete response.
std::vector<Violation> CheckLost(const Evidence& evidence);

/// Requests that ran more often than they may, or although they were refused.
std::vector<Violation> CheckRuns(const Evidence& evidence);

/// Orders whose fencing token is lower than an earlier one of their runner,
/// tokens of two holders, and orders of two holders that are too close.
std::vector<Violation> CheckOrders(const Evidence& evidence);

/// Responses that are wrong by themselves.
std::vector<Violation> CheckResponses(const Evidence& evidence);

/// Requests that were sent kRecovery after the last fault and weren't served.
std::vector<Violation> CheckRecovery(const Evidence& evidence);

/// @return the violations of all rules.
std::vector<Violation> CheckAll(const Evidence& evidence);

}  // namespace cicadaloft::soak

#endif  // CICADALOFT_TESTS_SOAK_CHECKS_H_
