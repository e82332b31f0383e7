#ifndef CICADALOFT_ADMISSION_RANK_H_
#define CICADALOFT_ADMISSION_RANK_H_

#include <compare>
#include <limits>
#include <string>

namespace cicadaloft {

/// Order of service under overload; the lowest rank is served first.
struct Rank {
  int customer = kDefaultPriority;  ///< The customer's priority.
  int route = kDefaultPriority;     ///< The route's priority, or kBatch.

  /// Of a customer or route that states no priority.
  static constexpr int kDefaultPriority = 5;
  /// Stands for the route's priority if the caller has marked the request as
  /// batch work.
  static constexpr int kBatch = std::numeric_limits<int>::max();

  friend auto operator<=>(const Rank&, const Rank&) = default;
  friend bool operator==(const Rank&, const Rank&) = default;
};

/// @return the rank for logs, such as "5/1" or "5/batch".
inline std::string ToString(const Rank& rank) {
  return std::to_string(rank.customer) + '/' +
         (rank.route == Rank::kBatch ? "batch" : std::to_string(rank.route));
}

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_RANK_H_
