#ifndef CICADALOFT_CONTROL_TESTS_SENT_REQUESTS_H_
#define CICADALOFT_CONTROL_TESTS_SENT_REQUESTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <numeric>
#include <utility>
#include <vector>

#include "cicadaloft/core/time.h"

namespace cicadaloft {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kLimitWindow = seconds(8);

/// A customer's limit in tokens over all hosts, and the overshoot that the
/// operator tolerates.
struct SharedLimit {
  double rate_per_second = 20'000;
  double burst = 20'000;
  double overshoot = 0.1;
  double slack = 7'400;

  double MaxCostPerWindow() const {
    const std::chrono::duration<double> window = kLimitWindow;
    return this->rate_per_second * window.count() + this->burst;
  }
};

/// The request rate from all hosts that a target tolerates just after its
/// start.
struct ColdRateLimit {
  double rate_per_second = 16;
  double overshoot = 1.5;
  double slack = 5;

  double MaxPerSecond() const {
    return this->rate_per_second * this->overshoot + this->slack;
  }
};

/// The requests that all hosts together have sent to a target.
class SentRequests {
 public:
  void Add(TimePoint at, double cost) { this->sent.emplace_back(at, cost); }

  std::size_t Count() const { return this->sent.size(); }

  /// @return the cost of all requests.
  double Cost() const {
    return std::accumulate(
        this->sent.begin(), this->sent.end(), 0.0,
        [](double sum, const auto& request) { return sum + request.second; });
  }

  /// @return the highest total cost of the requests in any limit window.
  double HighestCostPerWindow() const {
    double highest = 0;
    double sum = 0;
    std::deque<std::pair<TimePoint, double>> window;
    for (const auto& request : this->sent) {
      window.push_back(request);
      sum += request.second;
      while (request.first - window.front().first >= kLimitWindow) {
        sum -= window.front().second;
        window.pop_front();
      }
      highest = std::max(highest, sum);
    }
    return highest;
  }

  /// @return the highest number of requests in any second.
  std::size_t HighestCountPerSecond() const {
    std::size_t highest = 0;
    auto first = this->sent.begin();
    for (auto last = this->sent.begin(); last != this->sent.end(); ++last) {
      while (last->first - first->first >= seconds(1)) {
        ++first;
      }
      highest = std::max(highest, static_cast<std::size_t>(last - first) + 1);
    }
    return highest;
  }

 private:
  std::vector<std::pair<TimePoint, double>> sent;  ///< Sorted by time.
};

}  // namespace cicadaloft

#endif  // CICADALOFT_CONTROL_TESTS_SENT_REQUESTS_H_
