#include "scenarios/runner/invariants.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "cicadaloft/core/result.h"

namespace cicadaloft::scenarios {
namespace {

/// Time for an accepted change to be in force everywhere.
constexpr Duration kInForceWithin = std::chrono::seconds(8);
/// Time after which leaving targets and data centres get no new work.
constexpr Duration kNoNewWorkAfter = std::chrono::seconds(5);
/// Time beyond a request's own limit until it must have been answered.
constexpr Duration kAnswerSlack = std::chrono::milliseconds(500);
/// Runs are seen at the target, up to this much later than they were let go.
constexpr double kNetworkSeconds = 0.01;
constexpr double kMicrosecondsASecond = 1e6;

}  // namespace

void Invariants::OnAccepted(const Ticket& ticket, LogOffset offset) {
  const TimePoint now = this->world.time().Now();
  this->accepted.push_back({.value = offset, .at = now});
  std::ranges::for_each(ticket.items, [&](const Item& item) {
    std::visit(
        Overloaded{
            [&](const Customer& v) {
              this->customers[v.id].push_back({.value = v, .at = now});
            },
            [&](const ApiKey& v) {
              this->keys.insert_or_assign(v.id, v.customer);
              this->withdrawn.erase(v.id);
            },
            [&](const ModelRoute& v) {
              this->max_replicas.insert_or_assign(v.model, v.max_replicas);
            },
            [&](const DataCentre& v) {
              this->out.insert_or_assign(
                  v.id, Changed<bool>{v.state == DataCentreState::kOut, now});
            },
            [&](const Target& v) {
              this->draining.insert_or_assign(v.id,
                                              Changed<bool>{v.draining, now});
            },
            [](const auto&) {},
        },
        item);
  });
  std::ranges::for_each(ticket.removed, [&](const ItemRef& ref) {
    if (ref.kind == ItemKind::kKey) {
      this->withdrawn.insert_or_assign(KeyId(ref.name), now);
    }
  });
}

void Invariants::CheckNow() {
  this->CheckReplicas();
  this->CheckInForce();
}

void Invariants::CheckReplicas() {
  std::map<ModelId, std::uint32_t> loaded;
  std::ranges::for_each(
      this->world.Targets() | std::views::values, [&](const auto& target) {
        std::ranges::for_each(target->models() | std::views::keys,
                              [&](const ModelId& m) { ++loaded[m]; });
      });
  std::ranges::for_each(loaded, [&](const auto& model) {
    const auto limit = this->max_replicas.find(model.first);
    if (limit != this->max_replicas.end() && model.second > limit->second) {
      this->world.AddViolation("model " + model.first.value() + " has " +
                               std::to_string(model.second) + " replicas");
    }
  });
}

void Invariants::CheckInForce() {
  const TimePoint now = this->world.time().Now();
  std::ranges::for_each(this->world.Hosts(), [&](const HostId& host) {
    if (!this->world.IsRunning(host) || this->world.IsCutFromLog(host)) {
      return;
    }
    std::ranges::for_each(this->accepted, [&](const auto& change) {
      const TimePoint since =
          std::max(change.at, this->world.ActiveSince(host));
      const bool due = now - since > kInForceWithin;
      const bool in_force =
          this->world.EntryOf(host).ledger().next() > change.value;
      if (due && !in_force &&
          this->reported.emplace(host, change.value).second) {
        this->world.AddViolation("host " + host.value() +
                                 " does not act on offset " +
                                 std::to_string(change.value.value()));
      }
    });
  });
}

void Invariants::CheckAtEnd() {
  const std::vector<Run> runs = this->AllRuns();
  std::ranges::for_each(
      this->world.Targets() | std::views::values, [&](const auto& target) {
        std::ranges::for_each(target->violations(), [&](const auto& what) {
          this->world.AddViolation(what);
        });
      });
  this->CheckAnswers();
  this->CheckKeys(runs);
  this->CheckRates(runs);
  this->CheckOnce(runs);
  this->CheckNewWork(runs);
  this->CheckNotRun(runs);
}

std::vector<Run> Invariants::AllRuns() const {
  std::multimap<TimePoint, const Run*> sorted;
  std::ranges::for_each(
      this->world.Targets() | std::views::values, [&](const auto& target) {
        std::ranges::for_each(target->runs(), [&](const Run& run) {
          sorted.emplace(run.at, &run);
        });
      });
  std::vector<Run> runs;
  std::ranges::transform(sorted, std::back_inserter(runs),
                         [](const auto& entry) { return *entry.second; });
  return runs;
}

void Invariants::CheckAnswers() {
  const TimePoint now = this->world.time().Now();
  std::ranges::for_each(
      this->world.Requests() | std::views::values, [&](const SentRequest& r) {
        const std::string id = "request " + r.arrived.request.value();
        const TimePoint limit = r.at + r.arrived.timeout + kAnswerSlack;
        if (r.host_failed) {
          return;
        }
        if (r.saw == CallerSaw::kLostConnection) {
          this->world.AddViolation(id + " was cut by a planned stop");
        } else if (!r.ended.has_value() && !r.first_byte.has_value() &&
                   now > limit) {
          this->world.AddViolation(id + " has no answer");
        } else if (r.saw == CallerSaw::kRefusal && *r.ended > limit) {
          this->world.AddViolation(id + " was refused late");
        } else if (r.first_byte.has_value() && *r.first_byte > limit) {
          this->world.AddViolation(id + " was served late");
        }
      });
}

void Invariants::CheckKeys(const std::vector<Run>& runs) {
  std::ranges::for_each(runs, [&](const Run& run) {
    if (run.key.empty()) {
      return;
    }
    const auto owner = this->keys.find(run.key);
    if (owner == this->keys.end() || owner->second != run.customer) {
      this->world.AddViolation("request " + run.request.value() +
                               " ran with a key of nobody or another");
    }
    const auto gone = this->withdrawn.find(run.key);
    if (gone != this->withdrawn.end() &&
        run.at > gone->second + kNoNewWorkAfter) {
      this->world.AddViolation("request " + run.request.value() +
                               " ran with a withdrawn key");
    }
  });
}

void Invariants::CheckRates(const std::vector<Run>& runs) {
  struct Level {
    double used = 0;
    TimePoint since;
  };
  std::map<CustomerId, Level> levels;
  std::set<RequestId> seen;
  std::ranges::for_each(runs, [&](const Run& run) {
    const auto changes = this->customers.find(run.customer);
    if (changes == this->customers.end() || !seen.insert(run.request).second) {
      return;
    }
    double rate = 0;
    double burst = 0;
    // An old rate may still be in use until the new one is in force.
    for (std::size_t i = 0; i < changes->second.size(); ++i) {
      const bool begun = changes->second[i].at <= run.at + kInForceWithin;
      const bool over = i + 1 < changes->second.size() &&
                        changes->second[i + 1].at + kInForceWithin < run.at;
      if (begun && !over) {
        rate = std::max(rate, changes->second[i].value.requests_per_second);
        burst = std::max(burst, changes->second[i].value.burst_requests);
      }
    }
    Level& level = levels[run.customer];
    const double passed = static_cast<double>((run.at - level.since).count()) /
                          kMicrosecondsASecond;
    level.used = std::max(0.0, level.used - passed * rate) + 1;
    level.since = run.at;
    if (level.used > burst + rate * kNetworkSeconds + 1e-6) {
      this->world.AddViolation(
          "customer " + run.customer.value() + " exceeds its rate: " +
          std::to_string(level.used) + " of burst " + std::to_string(burst));
    }
  });
}

void Invariants::CheckOnce(const std::vector<Run>& runs) {
  std::map<std::string, int> counts;
  std::ranges::for_each(runs, [&](const Run& run) {
    if (run.is_idempotent) {
      return;
    }
    const std::string name =
        run.idempotency_key.empty()
            ? run.request.value()
            : run.customer.value() + "/" + run.idempotency_key;
    if (++counts[name] > 1) {
      this->world.AddViolation("non-idempotent " + name + " ran " +
                               std::to_string(counts[name]) + " times");
    }
  });
}

void Invariants::CheckNewWork(const std::vector<Run>& runs) {
  std::ranges::for_each(runs, [&](const Run& run) {
    const Target& target = this->world.TargetOf(run.target).target();
    const auto late = [&](const auto& changes, const auto& id) {
      const auto found = changes.find(id);
      return found != changes.end() && found->second.value &&
             run.at > found->second.at + kNoNewWorkAfter;
    };
    if (late(this->out, target.data_centre)) {
      this->world.AddViolation("a data centre taken out got new work: " +
                               run.request.value());
    }
    if (late(this->draining, run.target)) {
      this->world.AddViolation("a leaving target got new work: " +
                               run.request.value());
    }
  });
}

void Invariants::CheckNotRun(const std::vector<Run>& runs) {
  std::set<RequestId> ran;
  std::ranges::transform(runs, std::inserter(ran, ran.end()), &Run::request);
  std::ranges::for_each(
      this->world.Requests() | std::views::values, [&](const SentRequest& r) {
        if (r.saw == CallerSaw::kRefusal &&
            r.claimed_state == RunState::kNotRun &&
            ran.contains(r.arrived.request)) {
          this->world.AddViolation("request " + r.arrived.request.value() +
                                   " was called not run and has run");
        }
      });
}

}  // namespace cicadaloft::scenarios
