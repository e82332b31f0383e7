#include "cicadaloft/admission/token_asks.h"

#include <algorithm>

namespace cicadaloft {
namespace {

constexpr double kNewestWeight = 0.5;

/// What came is forgotten after this time without an ask.
constexpr Duration kIncomeTerm = std::chrono::seconds(5);

}  // namespace

bool TokenAsks::MayAsk(const HostId& peer, TimePoint now) const {
  const auto found = this->asks.find(peer);
  if (found == this->asks.end()) {
    return true;
  }
  const Ask& ask = found->second;
  const bool is_open =
      ask.asked_at.has_value() && now - *ask.asked_at < kLostAfter;
  return !is_open && now >= ask.not_before;
}

std::vector<HostId> TokenAsks::Pick(const std::vector<HostId>& peers,
                                    std::size_t count,
                                    TimePoint now) {
  std::vector<HostId> picked;
  if (now - this->round_began < this->round_interval) {
    return picked;
  }
  const std::size_t size = peers.size();
  for (std::size_t i = 0; i < size && picked.size() < count; ++i) {
    const HostId& peer = peers[this->next_peer++ % size];
    if (this->MayAsk(peer, now)) {
      this->asks[peer].asked_at = now;
      picked.push_back(peer);
    }
  }
  this->round_began = now;
  this->round_interval = std::clamp(this->round_interval * 2,
                                    kFirstRoundInterval, kLongestRoundInterval);
  return picked;
}

std::optional<TimePoint> TokenAsks::OnAnswer(const HostId& peer,
                                             double tokens,
                                             TimePoint now) {
  const auto found = this->asks.find(peer);
  if (found == this->asks.end() || !found->second.asked_at.has_value()) {
    return std::nullopt;
  }
  Ask& ask = found->second;
  const TimePoint asked_at = *ask.asked_at;
  ask.asked_at.reset();
  if (now - asked_at >= kLostAfter) {
    return std::nullopt;
  }
  if (tokens > 0) {
    ask.back_off = kFirstBackOff;
    this->came_in_window += tokens;
    this->round_interval = kFirstRoundInterval;
    return asked_at;
  }
  ask.not_before = now + ask.back_off;
  ask.back_off = std::min(kLongestBackOff, ask.back_off * 2);
  return asked_at;
}

double TokenAsks::Income(double hoped_for, TimePoint now) {
  const bool has_paused = this->window_began.has_value() &&
                          now - *this->window_began >= kIncomeTerm;
  if (has_paused) {
    this->income.reset();
    this->round_interval = Duration{};
  }
  if (has_paused || !this->window_began.has_value()) {
    this->window_began = now;
    this->came_in_window = 0;
  }
  const Duration passed = now - *this->window_began;
  if (passed < kIncomeWindow) {
    return this->income.value_or(hoped_for);
  }
  const double rate =
      this->came_in_window / std::chrono::duration<double>(passed).count();
  const double before = this->income.value_or(hoped_for);
  this->income = before + kNewestWeight * (rate - before);
  this->window_began = now;
  this->came_in_window = 0;
  return *this->income;
}

}  // namespace cicadaloft
