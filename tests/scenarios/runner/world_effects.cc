// What a host's decisions ask for, done to the stand-ins.

#include <algorithm>
#include <iostream>
#include <ranges>

#include "cicadaloft/core/result.h"
#include "scenarios/runner/world.h"

namespace cicadaloft::scenarios {
namespace {

constexpr Duration kLocalDelay = std::chrono::microseconds(60);
constexpr Duration kTargetDelay = std::chrono::microseconds(300);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

void Print(TimePoint now, const HostId& host, const DecisionLine& line) {
  constexpr Duration kStart = std::chrono::hours(1);
  std::cout << (now.time_since_epoch() - kStart) / std::chrono::milliseconds(1)
            << "ms " << host.value() << " reason=" << line.reason
            << " request=" << line.request.value() << " " << line.detail
            << "\n";
}

}  // namespace

void World::Do(Host& host, const EntryEffect& effect) {
  const HostId id = host.id;
  std::visit(
      Overloaded{
          [&](const Dispatch& dispatch) { this->DoDispatch(host, dispatch); },
          [&](const CancelAttempt& cancel) {
            const AttemptKey key(cancel.request, cancel.attempt);
            this->Later(id, kTargetDelay, [this, key] {
              const auto found = this->attempts.find(key);
              if (found != this->attempts.end() && !found->second.ended) {
                this->TargetOf(found->second.target).Cancel(key.first);
                this->EndAttempt(key, AttemptOutcome::kTimedOut);
              }
            });
          },
          [&](const Refuse& refuse) {
            this->EndRequest(refuse.request, CallerSaw::kRefusal,
                             refuse.error.kind, refuse.run_state);
          },
          [&](const SendLink& send) {
            this->Later(id, kLocalDelay, [this, id, send] {
              this->Give(id,
                         StewardEvent(StewardLinkReceived{
                             .envelope = send.envelope, .from_entry = true}));
            });
          },
          [&](const DecisionLine& line) {
            if (this->trace) {
              Print(this->clock.Now(), id, line);
            }
          },
          [&](const EntryDrained&) {
            // The entry's process ends: its steward sees the link go down.
            this->Later(id, kLocalDelay, [this, id] {
              this->Give(id,
                         StewardEvent(PeerChanged{.peer = id, .is_up = false}));
            });
          },
      },
      effect);
}

void World::Do(Host& host, const StewardEffect& effect) {
  const HostId id = host.id;
  std::visit(
      Overloaded{
          [&](const AppendRecords& append) { this->AppendFor(host, append); },
          [&](const ReadLog& read) { this->ReadLogFor(host, read.from); },
          [&](const SendPeer& send) {
            const auto to = this->hosts.find(send.envelope.to);
            if (to == this->hosts.end() ||
                !host.links_up.contains(send.envelope.to) ||
                this->IsCut(host, to->second) || !to->second.is_up) {
              return;
            }
            this->Later(
                send.envelope.to,
                this->DelayBetween(host.data_centre, to->second.data_centre),
                [this, send] {
                  this->Give(send.envelope.to, StewardEvent(StewardLinkReceived{
                                                   .envelope = send.envelope}));
                });
          },
          [&](const SendEntry& send) {
            this->Later(id, kLocalDelay, [this, id, send] {
              this->Give(id,
                         EntryEvent(LinkReceived{.envelope = send.envelope}));
            });
          },
          [&](const HoldLink& hold) {
            if (hold.is_held) {
              host.held_links.insert_or_assign(hold.peer, hold.address);
            } else {
              host.held_links.erase(hold.peer);
            }
          },
          [&](const PollTarget& poll) {
            const auto report = this->TargetOf(poll.target).Report();
            const StewardEvent event =
                report.has_value()
                    ? StewardEvent(TargetReported{.report = *report})
                    : StewardEvent(TargetPollFailed{.target = poll.target});
            this->Later(id, 2 * kTargetDelay,
                        [this, id, event] { this->Give(id, event); });
          },
          [&](const OrderTarget& order) {
            const std::uint64_t incarnation = host.incarnation;
            this->clock.After(kTargetDelay, [this, id, incarnation, order] {
              this->TargetOf(order.target)
                  .CarryOut(order, [this, id, incarnation,
                                    order](OrderOutcome outcome) {
                    if (this->At(id).incarnation != incarnation) {
                      return;
                    }
                    this->Later(id, kTargetDelay, [this, id, order, outcome] {
                      this->Give(id,
                                 StewardEvent(OrderEnded{.order = order.order,
                                                         .outcome = outcome}));
                    });
                  });
            });
          },
          [&](const TicketAnswer& answer) {
            const auto found = this->submitted.find(answer.call);
            if (found != this->submitted.end()) {
              this->heard.push_back(HeardTicket{.ticket = found->second,
                                                .at = this->clock.Now(),
                                                .outcome = answer.outcome});
            }
          },
          [&](const DecisionLine& line) {
            if (this->trace) {
              Print(this->clock.Now(), id, line);
            }
          },
          [&](const StewardStopped&) {
            this->clock.After(kLocalDelay, [this, id] {
              this->EndProcesses(id);
              this->At(id).has_stopped = true;
            });
          },
      },
      effect);
}

// Requests.

std::optional<HostId> World::ChooseHost(const std::set<HostId>& among) {
  std::vector<HostId> ready;
  std::ranges::copy_if(among, std::back_inserter(ready), [&](const HostId& id) {
    const Host& host = this->At(id);
    // The balancer's checks lag: a suspended host still gets requests at first.
    constexpr Duration kCheckLag = std::chrono::seconds(1);
    const bool answers =
        !host.is_frozen || this->clock.Now() - host.frozen_at < kCheckLag;
    return host.is_up && answers && host.entry->IsReady();
  });
  if (ready.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> choice(0, ready.size() - 1);
  return ready[choice(this->random_source)];
}

void World::Send(SentRequest request) {
  const HostId id = request.host;
  const Host& host = this->At(id);
  request.host_failed = host.is_frozen;
  const RequestArrived arrived = request.arrived;
  this->requests.emplace(arrived.request, std::move(request));
  if (!host.is_up) {
    this->EndRequest(arrived.request, CallerSaw::kLostConnection, std::nullopt,
                     RunState::kNotRun);
    return;
  }
  this->Later(id, Duration{},
              [this, id, arrived] { this->Give(id, EntryEvent(arrived)); });
}

void World::DoDispatch(Host& host, const Dispatch& dispatch) {
  const AttemptKey key(dispatch.request, dispatch.attempt);
  this->attempts.emplace(key,
                         Attempt{.host = host.id, .target = dispatch.target});
  const SentRequest& request = this->requests.at(dispatch.request);
  FakeTarget& target = this->TargetOf(dispatch.target);
  const std::string to(target.target().data_centre.value());
  if (this->cuts.contains({host.data_centre.value(), to}) ||
      this->cuts.contains({host.id.value(), to})) {
    this->clock.After(kConnectTimeout, [this, key] {
      this->EndAttempt(key, AttemptOutcome::kNotSent);
    });
    return;
  }
  const TargetCall call{
      .run =
          Run{.at = this->clock.Now(),
              .target = dispatch.target,
              .host = host.id,
              .request = dispatch.request,
              .customer = request.customer,
              .key = request.key,
              .idempotency_key = request.arrived.idempotency_key.value_or(""),
              .is_idempotent = request.is_idempotent},
      .model = dispatch.model,
      .work = request.work,
      .is_poison = request.is_poison};
  this->clock.After(kTargetDelay, [this, key, call, id = dispatch.target] {
    if (this->attempts.at(key).ended) {
      return;
    }
    this->TargetOf(id).Run(
        call,
        [this, key] {
          const Attempt& attempt = this->attempts.at(key);
          if (attempt.ended) {
            return;
          }
          SentRequest& sent = this->requests.at(key.first);
          if (!sent.first_byte.has_value()) {
            sent.first_byte.emplace(this->clock.Now());
          }
          this->Later(attempt.host, kTargetDelay, [this, key] {
            this->Give(this->attempts.at(key).host,
                       EntryEvent(AttemptStarted{.request = key.first,
                                                 .attempt = key.second}));
          });
        },
        [this, key](AttemptOutcome outcome) {
          this->EndAttempt(key, outcome);
        });
  });
  this->clock.After(dispatch.start_within, [this, key] {
    const Attempt& attempt = this->attempts.at(key);
    const SentRequest& sent = this->requests.at(key.first);
    if (!attempt.ended && !sent.first_byte.has_value()) {
      this->TargetOf(attempt.target).Cancel(key.first);
      this->EndAttempt(key, AttemptOutcome::kTimedOut);
    }
  });
}

void World::EndAttempt(const AttemptKey& key, AttemptOutcome outcome) {
  Attempt& attempt = this->attempts.at(key);
  if (attempt.ended) {
    return;
  }
  attempt.ended = true;
  constexpr int kOk = 200;
  const int status = outcome == AttemptOutcome::kCompleted ? kOk : 0;
  this->Later(attempt.host, kTargetDelay, [this, key, outcome, status] {
    if (outcome == AttemptOutcome::kCompleted) {
      this->EndRequest(key.first, CallerSaw::kWholeAnswer, std::nullopt,
                       RunState::kRan);
    } else if (outcome == AttemptOutcome::kDiedStarted) {
      this->EndRequest(key.first, CallerSaw::kBrokenAnswer, std::nullopt,
                       RunState::kUnknown);
    }
    this->Give(this->attempts.at(key).host,
               EntryEvent(AttemptEnded{.request = key.first,
                                       .attempt = key.second,
                                       .outcome = outcome,
                                       .http_status = status}));
  });
}

void World::EndRequest(const RequestId& id,
                       CallerSaw saw,
                       std::optional<ErrorKind> refused_with,
                       RunState state) {
  SentRequest& request = this->requests.at(id);
  if (request.ended.has_value()) {
    if (saw == CallerSaw::kRefusal) {
      this->AddViolation("request " + id.value() + " was answered twice");
    }
    return;
  }
  request.ended.emplace(this->clock.Now());
  request.saw = saw;
  if (refused_with.has_value()) {
    request.refused_with.emplace(*refused_with);
  }
  request.claimed_state = state;
  if (this->on_ended) {
    this->on_ended(request);
  }
}

void World::LoseRequestsOf(const HostId& id) {
  std::ranges::for_each(this->attempts, [&](auto& entry) {
    if (entry.second.host == id && !entry.second.ended) {
      entry.second.ended = true;
      this->TargetOf(entry.second.target).Cancel(entry.first.first);
    }
  });
  std::vector<RequestId> open;
  std::ranges::for_each(this->requests, [&](const auto& entry) {
    if (entry.second.host == id && !entry.second.ended.has_value()) {
      open.push_back(entry.first);
    }
  });
  std::ranges::for_each(open, [&](const RequestId& request) {
    this->EndRequest(request, CallerSaw::kLostConnection, std::nullopt,
                     RunState::kUnknown);
  });
}

}  // namespace cicadaloft::scenarios
