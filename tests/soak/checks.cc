#include "checks.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace cicadaloft::soak {
namespace {

bool Overlaps(const Span& span, Millis from, Millis to) {
  return span.from <= to && span.to >= from;
}

bool IsDisturbed(const Evidence& evidence,
                 SpanKind kind,
                 int index,
                 Millis from,
                 Millis to) {
  return std::ranges::any_of(evidence.spans, [&](const Span& span) {
    return span.kind == kind && span.index == index && Overlaps(span, from, to);
  });
}

std::string Describe(const Call& call, Millis origin) {
  return call.id + " at host " + std::to_string(call.host) + ", sent at " +
         std::to_string(call.sent_at - origin) + " ms, ended at " +
         std::to_string(call.ended_at - origin) + " ms, status " +
         std::to_string(call.status) +
         (call.outcome == Outcome::kClosed     ? ", closed"
          : call.outcome == Outcome::kTimedOut ? ", timed out"
                                               : "");
}

std::string Describe(const Order& order, Millis origin) {
  return "order of " + order.holder + " with token " +
         std::to_string(order.token) + " to runner " +
         std::to_string(order.runner) + " at " +
         std::to_string(order.at - origin) + " ms";
}

Millis OriginOf(const Evidence& evidence) {
  return evidence.lives.empty() ? 0 : evidence.lives.front().started_at;
}

std::string Describe(const Life& life, Millis origin) {
  return "host " + std::to_string(life.host) + " pid " +
         std::to_string(life.pid) + " started at " +
         std::to_string(life.started_at - origin) + " ms";
}

std::multimap<std::string, Run> RunsById(const Evidence& evidence) {
  std::multimap<std::string, Run> runs;
  for (const Run& run : evidence.runs) {
    runs.emplace(run.id, run);
  }
  return runs;
}

// How the process ended against what was done to it; empty if as due.
std::string WrongEnd(const Evidence& evidence, const Life& life) {
  const std::string how = life.signal != 0
                              ? "signal " + std::to_string(life.signal)
                              : "code " + std::to_string(life.code);
  if (life.due == Due::kKilled) {
    return "";
  }
  if (life.due == Due::kNothing) {
    return "ended by itself, " + how;
  }
  // A frozen process can't keep its grace period.
  const bool is_late =
      life.ended_at - life.terminated_at > kGracePeriod &&
      !IsDisturbed(evidence, SpanKind::kHostFault, life.host,
                   life.terminated_at, life.terminated_at + kGracePeriod);
  if (is_late) {
    return "still alive 8 s after SIGTERM";
  }
  const bool was_killed_late =
      life.ended_at - life.terminated_at > kGracePeriod;
  return life.signal == 0 && life.code == 0 ? ""
         : was_killed_late                  ? ""
                                            : "SIGTERM ended it by " + how;
}

bool IsLateReady(const Evidence& evidence, const Life& life) {
  const Millis limit = life.started_at + kReadyWithin;
  const Millis last = life.ended_at == 0 ? evidence.ended_at : life.ended_at;
  const bool is_calm =
      last > limit && (life.terminated_at == 0 || life.terminated_at > limit) &&
      std::ranges::none_of(evidence.spans, [&](const Span& span) {
        const bool concerns_host =
            span.kind == SpanKind::kStoreFault ||
            (span.kind == SpanKind::kHostFault && span.index == life.host &&
             span.from > life.started_at);
        return concerns_host && Overlaps(span, life.started_at, limit);
      });
  return is_calm && (life.ready_at == 0 || life.ready_at > limit);
}

bool IsStarved(const Evidence& evidence, const Call& call) {
  return IsDisturbed(evidence, SpanKind::kHostStarved, call.host,
                     call.sent_at - kStabilityWindow, call.ended_at);
}

bool IsServed(const Call& call) {
  return call.outcome == Outcome::kAnswered && call.status / 100 == 2;
}

}  // namespace

std::vector<Violation> CheckFaults(const Evidence& evidence) {
  std::vector<Violation> found;
  const Millis origin = OriginOf(evidence);
  for (const Life& life : evidence.lives) {
    const auto add = [&](const std::string& text) {
      found.push_back({"FAULT", Describe(life, origin) + ": " + text});
    };
    const std::string end = life.ended_at == 0 ? "" : WrongEnd(evidence, life);
    if (!end.empty()) {
      add(end + ", at " + std::to_string(life.ended_at - origin) + " ms");
    }
    if (IsLateReady(evidence, life)) {
      add("not ready within 10 s");
    }
    if (life.peak_mb > kMemoryMb) {
      add("holds " + std::to_string(life.peak_mb) + " MB");
    }
  }
  return found;
}

std::vector<Violation> CheckLost(const Evidence& evidence) {
  std::vector<Violation> found;
  const auto runs = RunsById(evidence);
  for (const Call& call : evidence.calls) {
    const bool has_no_answer =
        call.outcome == Outcome::kClosed || call.outcome == Outcome::kTimedOut;
    if (!has_no_answer) {
      continue;
    }
    const Millis from = call.sent_at - kStabilityWindow;
    const auto [first, last] = runs.equal_range(call.id);
    const bool has_run = first != last;
    const bool has_runner_fault = std::any_of(first, last, [&](const auto& it) {
      return IsDisturbed(evidence, SpanKind::kRunnerFault, it.second.runner,
                         from, call.ended_at);
    });
    const bool is_owed = has_run || call.ended_at - call.sent_at > kLossSlack;
    // A starved host is late, but has no reason to close a connection.
    const bool is_late_only =
        call.outcome == Outcome::kTimedOut && IsStarved(evidence, call);
    if (is_owed && !has_runner_fault && !is_late_only &&
        !IsDisturbed(evidence, SpanKind::kHostFault, call.host, from,
                     call.ended_at)) {
      found.push_back({"LOST", Describe(call, OriginOf(evidence)) +
                                   (has_run ? ", ran" : ", never ran")});
    }
  }
  return found;
}

std::vector<Violation> CheckRuns(const Evidence& evidence) {
  std::vector<Violation> found;
  const auto runs = RunsById(evidence);
  for (const Call& call : evidence.calls) {
    const auto count = runs.count(call.id);
    if (count > 1 && !call.may_run_twice) {
      found.push_back({"TWICE", Describe(call, OriginOf(evidence)) + ", ran " +
                                    std::to_string(count) + " times"});
    }
    static const std::set<int> kPromises{408, 421, 429, 503};
    const bool is_refused =
        call.outcome == Outcome::kAnswered && kPromises.contains(call.status);
    if (is_refused && count > 0 && !call.may_run_twice) {
      found.push_back({"REFUSED", Describe(call, OriginOf(evidence))});
    }
  }
  return found;
}

std::vector<Violation> CheckOrders(const Evidence& evidence) {
  std::vector<Violation> found;
  const Millis origin = OriginOf(evidence);
  std::map<int, std::uint64_t> highest;  // Of each runner.
  std::map<std::uint64_t, std::string> holders;
  for (const Order& order : evidence.orders) {
    std::uint64_t& last = highest[order.runner];
    if (order.token < last) {
      found.push_back({"ONE", Describe(order, origin) + ", after token " +
                                  std::to_string(last)});
    }
    last = std::max(last, order.token);
    const auto [entry, is_new] = holders.emplace(order.token, order.holder);
    if (entry->second != order.holder) {
      found.push_back({"ONE", Describe(order, origin) +
                                  ", which is a token of " + entry->second});
    }
  }
  std::vector<Order> orders = evidence.orders;
  std::ranges::sort(orders, {}, &Order::at);
  for (std::size_t i = 1; i < orders.size(); ++i) {
    const Order& previous = orders[i - 1];
    const Millis gap = orders[i].at - previous.at;
    if (previous.holder != orders[i].holder && gap < kHandoverDelay) {
      found.push_back({"ONE", Describe(orders[i], origin) + ", " +
                                  std::to_string(gap) + " ms after one of " +
                                  previous.holder});
    }
  }
  return found;
}

std::vector<Violation> CheckResponses(const Evidence& evidence) {
  std::vector<Violation> found;
  for (const Call& call : evidence.calls) {
    if (!call.fault.empty()) {
      const auto colon = call.fault.find(':');
      found.push_back(
          {call.fault.substr(0, colon),
           Describe(call, OriginOf(evidence)) + call.fault.substr(colon)});
    }
  }
  return found;
}

std::vector<Violation> CheckRecovery(const Evidence& evidence) {
  Millis last = 0;
  for (const Span& span : evidence.spans) {
    if (span.kind != SpanKind::kHostStarved) {
      last = std::max(last, span.to);
    }
  }
  std::vector<Violation> found;
  for (const Call& call : evidence.calls) {
    const bool is_owed =
        call.sent_at > last + kRecovery && call.ended_at < evidence.stopped_at;
    if (is_owed && !IsServed(call) && !IsStarved(evidence, call)) {
      found.push_back({"RECOVER", Describe(call, OriginOf(evidence))});
    }
  }
  return found;
}

std::vector<Violation> CheckAll(const Evidence& evidence) {
  std::vector<Violation> found;
  for (const auto check : {CheckFaults, CheckLost, CheckRuns, CheckOrders,
                           CheckResponses, CheckRecovery}) {
    std::ranges::copy(check(evidence), std::back_inserter(found));
  }
  return found;
}

}  // namespace cicadaloft::soak
