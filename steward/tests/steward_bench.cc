#include "steward_bench.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace cicadaloft {

StewardBench::StewardBench(const std::vector<std::string>& hosts,
                           const std::string& data_centre) {
  std::ranges::for_each(
      hosts, [&](const std::string& host) { this->Add(host, data_centre); });
}

std::set<HostId> StewardBench::hosts() const {
  const auto names = this->nodes | std::views::keys;
  return {names.begin(), names.end()};
}

void StewardBench::Add(const std::string& host,
                       const std::string& data_centre,
                       std::uint64_t incarnation) {
  const HostId id(host);
  this->nodes.erase(id);
  this->nodes.emplace(
      id,
      StewardState(StewardSettings{
          .self = Member{.host = id, .incarnation = Incarnation(incarnation)},
          .data_centre = DataCentreId(data_centre),
          .peer_address = "127.0.0.1:1",
          .checkpoint_records = this->checkpoint_records}));
  this->queue.push_back(Pending{id, PeerChanged{.peer = id, .is_up = true}});
  for (const auto& other : this->nodes | std::views::keys) {
    if (other != id) {
      this->Link(host, other.value(), true);
    }
  }
}

void StewardBench::Kill(const std::string& host) {
  for (const auto& other : this->nodes | std::views::keys) {
    this->Link(host, other.value(), false);
  }
  this->nodes.erase(HostId(host));
  this->reads.erase(HostId(host));
}

void StewardBench::Run(Duration duration) {
  this->RunWithout("", duration);
}

void StewardBench::RunWithout(const std::string& host, Duration duration) {
  this->suspended = HostId(host);
  for (const TimePoint end = this->now + duration; this->now < end;) {
    this->now += kStewardTickInterval;
    for (const auto& id : this->nodes | std::views::keys) {
      if (id != HostId(host)) {
        this->queue.push_back(Pending{.host = id, .event = StewardTick{}});
      }
    }
    this->Drain();
  }
  this->suspended = HostId();
  this->queue.swap(this->held);
}

void StewardBench::Put(const std::string& host, const StewardEvent& event) {
  this->queue.push_back(Pending{.host = HostId(host), .event = event});
  this->Drain();
}

void StewardBench::Submit(const std::string& host, const Ticket& ticket) {
  this->Put(host, TicketSubmitted{.call = ++this->calls, .ticket = ticket});
}

void StewardBench::FromEntry(const std::string& host,
                             const LinkMessage& message) {
  this->Put(host, StewardLinkReceived{.envelope = {.from = HostId(host),
                                                   .to = HostId(),
                                                   .message = message},
                                      .from_entry = true});
}

void StewardBench::Link(const std::string& left,
                        const std::string& right,
                        bool is_up) {
  const HostId a(left);
  const HostId b(right);
  if (is_up) {
    this->links.insert({a, b});
    this->links.insert({b, a});
  } else {
    this->links.erase({a, b});
    this->links.erase({b, a});
  }
  this->queue.push_back(Pending{a, PeerChanged{.peer = b, .is_up = is_up}});
  this->queue.push_back(Pending{b, PeerChanged{.peer = a, .is_up = is_up}});
}

bool StewardBench::ReachesLog(const HostId& host) const {
  return this->is_log_up && !this->cut_from_log.contains(host);
}

void StewardBench::Append(const HostId& host, const AppendRecords& append) {
  const bool reaches = this->ReachesLog(host);
  if (reaches) {
    std::ranges::for_each(append.records, [this](const LogRecord& record) {
      this->log.push_back(PlacedRecord{.offset = LogOffset(this->log.size()),
                                       .record = record});
    });
  }
  this->queue.push_back(
      Pending{host, AppendAnswered{.last = append.records.back().sequence,
                                   .is_ok = reaches && !this->is_answer_lost}});
}

void StewardBench::CarryOut(const HostId& host, const OrderTarget& order) {
  this->orders.emplace_back(host, order);
  const auto scripted = this->order_outcomes.find(order.model.value());
  const OrderOutcome outcome = scripted == this->order_outcomes.end()
                                   ? OrderOutcome::kConfirmed
                                   : scripted->second;
  if (outcome == OrderOutcome::kConfirmed) {
    const TargetReport before = this->reports.at(order.target);
    std::vector<ReportedModel> models;
    std::ranges::copy_if(
        before.models, std::back_inserter(models),
        [&](const ReportedModel& m) { return m.model != order.model; });
    if (order.action == PlacementAction::kLoad) {
      models.push_back(ReportedModel{.model = order.model, .loaded = true});
    }
    this->reports.erase(order.target);
    this->reports.emplace(order.target,
                          TargetReport{.target = before.target,
                                       .instance = before.instance,
                                       .models = std::move(models)});
  }
  this->queue.push_back(
      Pending{host, OrderEnded{.order = order.order, .outcome = outcome}});
}

void StewardBench::Take(const HostId& host, const StewardEffect& effect) {
  std::visit(
      Overloaded{
          [&](const AppendRecords& e) { this->Append(host, e); },
          [&](const ReadLog& e) { this->reads.insert_or_assign(host, e.from); },
          [&](const SendPeer& e) {
            const HostId& over = e.via.empty() ? e.envelope.to : e.via;
            if (this->links.contains({host, over})) {
              this->queue.push_back(
                  Pending{over, StewardLinkReceived{.envelope = e.envelope}});
            }
          },
          [&](const SendEntry& e) {
            this->to_entries.emplace_back(host, e.envelope.message);
            this->AnswerAsEntry(host, e.envelope.message);
          },
          [&](const PollTarget& e) {
            const auto report = this->reports.find(e.target);
            this->queue.push_back(
                report == this->reports.end()
                    ? Pending{host, TargetPollFailed{.target = e.target}}
                    : Pending{host, TargetReported{.report = report->second}});
          },
          [&](const OrderTarget& e) { this->CarryOut(host, e); },
          [&](const TicketAnswer& e) { this->answers.push_back(e); },
          [&](const DecisionLine& e) { this->lines.push_back(e); },
          [&](const StewardStopped&) { this->stopped.insert(host); },
          [](const HoldLink&) {},
      },
      effect);
}

void StewardBench::AnswerAsEntry(const HostId& host,
                                 const LinkMessage& message) {
  std::optional<LogOffset> next;
  if (const auto* records = std::get_if<RelayRecords>(&message)) {
    next = records->next;
  } else if (const auto* state = std::get_if<StateTransfer>(&message)) {
    next = state->checkpoint.offset;
  }
  if (next.has_value()) {
    this->queue.push_back(Pending{
        host,
        StewardLinkReceived{
            .envelope = {.from = host,
                         .to = HostId(),
                         .message = LogPosition{.next = *next,
                                                .applied_by_entry = *next}},
            .from_entry = true}});
  }
}

void StewardBench::AnswerReads() {
  const std::map<HostId, LogOffset> waiting = this->reads;
  for (const auto& [host, from] : waiting) {
    if (!this->ReachesLog(host)) {
      this->reads.erase(host);
      this->queue.push_back(Pending{host, LogReadFailed{}});
    } else if (from.value() < this->log.size()) {
      this->reads.erase(host);
      std::vector<PlacedRecord> records;
      std::ranges::copy(this->log | std::views::drop(std::max(
                                        from.value(), first_kept.value())),
                        std::back_inserter(records));
      this->queue.push_back(
          Pending{host, LogRead{.records = std::move(records),
                                .first_kept = this->first_kept,
                                .next = LogOffset(this->log.size())}});
    }
  }
}

void StewardBench::Drain() {
  // A failed read is repeated at the next tick, not within this one.
  for (int rounds = 0; rounds < 3; ++rounds) {
    this->AnswerReads();
    while (!this->queue.empty()) {
      const HostId host = this->queue.front().host;
      const StewardEvent event = this->queue.front().event;
      this->queue.pop_front();
      if (host == this->suspended) {
        this->held.push_back(Pending{host, event});
        continue;
      }
      const auto node = this->nodes.find(host);
      if (node == this->nodes.end()) {
        continue;
      }
      Step<StewardState, StewardEffect> step =
          Decide(std::move(node->second), event, this->now);
      node->second = std::move(step.state);
      std::ranges::for_each(step.effects, [&](const StewardEffect& effect) {
        this->Take(host, effect);
      });
    }
  }
}

}  // namespace cicadaloft
