#include "scenarios/runner/request_book.h"

#include <algorithm>
#include <cmath>

namespace cicadaloft::scenarios {

double RequestFigures::ServedShare() const {
  return this->sent == 0 ? 1
                         : static_cast<double>(this->served) /
                               static_cast<double>(this->sent);
}

double RequestFigures::WrongShare() const {
  return this->inside_rate == 0 ? 0
                                : static_cast<double>(this->wrongly_refused) /
                                      static_cast<double>(this->inside_rate);
}

Duration Percentile(const std::vector<Duration>& sorted, double share) {
  if (sorted.empty()) {
    return Duration{};
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void Add(RequestFigures& figures, const SentRequest& request) {
  ++figures.sent;
  figures.inside_rate += request.was_inside_rate ? 1 : 0;
  if (request.saw == CallerSaw::kWholeAnswer) {
    ++figures.served;
  } else if (request.saw == CallerSaw::kRefusal) {
    ++figures.refused;
    figures.wrongly_refused += request.was_inside_rate ? 1 : 0;
    ++figures.refusals[std::string(AnswerFor(*request.refused_with).token)];
  } else {
    ++figures.lost;
  }
  if (request.first_byte.has_value()) {
    const Duration took = *request.first_byte - request.at;
    figures.first_byte.push_back(took);
    if (request.was_cold) {
      figures.cold_first_byte.push_back(took);
    }
  }
}

void Sort(RequestFigures& figures) {
  std::ranges::sort(figures.first_byte);
  std::ranges::sort(figures.cold_first_byte);
}

}  // namespace cicadaloft::scenarios
