#include "steward_outlet.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace cicadaloft {
namespace {

MetricKey Lost(const char* kind) {
  return MetricKey{.name = "cicadaloft_steward_lost_messages_total",
                   .labels = {{.name = "kind", .value = kind}}};
}

}  // namespace

StewardOutlet::StewardOutlet(const boost::asio::any_io_executor& executor,
                             const PlatformSettings& platform,
                             const TargetClientSettings& targets,
                             StewardEventSink sink,
                             PeerLinks& links,
                             TicketCalls& calls,
                             DecisionLog& decisions,
                             Metrics& metrics)
    : executor(executor),
      sink(std::move(sink)),
      writer(StartLogWriter(executor, platform, this->sink)),
      reader(StartLogReader(executor, platform, this->sink)),
      target_client(executor, targets, this->sink),
      links(links),
      calls(calls),
      decisions(decisions),
      metrics(metrics),
      stopped_channel(
          std::make_shared<MessageChannel<StewardStopped>>(executor, 1)) {}

void StewardOutlet::operator()(const AppendRecords& append) {
  if (!append.records.empty() && !this->writer.Post(append)) {
    this->TellLater(AppendAnswered{.last = append.records.back().sequence});
  }
}

void StewardOutlet::operator()(const ReadLog& read) {
  if (!this->reader.Post(read)) {
    this->TellLater(LogReadFailed());
  }
}

void StewardOutlet::operator()(const SendPeer& send) {
  const HostId& peer = send.via.empty() ? send.envelope.to : send.via;
  if (!this->links.Send(peer, send.envelope)) {
    this->metrics.Count(Lost("peer"));
  }
}

void StewardOutlet::operator()(const SendEntry& send) {
  if (!this->links.SendToEntry(send.envelope)) {
    this->metrics.Count(Lost("entry"));
  }
}

void StewardOutlet::operator()(const HoldLink& link) {
  this->links.Hold(link);
}

void StewardOutlet::operator()(const PollTarget& poll) {
  this->target_client.Post(poll);
}

void StewardOutlet::operator()(const OrderTarget& order) {
  this->metrics.Count({.name = "cicadaloft_steward_orders_total"});
  this->target_client.Post(order);
}

void StewardOutlet::operator()(const TicketAnswer& answer) {
  this->calls.Take(answer);
}

void StewardOutlet::operator()(const DecisionLine& line) {
  this->metrics.Count({.name = "cicadaloft_steward_decisions_total"});
  this->decisions.Write(line);
}

void StewardOutlet::operator()(const StewardStopped& stopped) {
  this->stopped_channel->try_send(boost::system::error_code(), stopped);
}

void StewardOutlet::TellLater(StewardEvent event) {
  this->sink->async_send(boost::system::error_code(), std::move(event),
                         boost::asio::detached);
}

}  // namespace cicadaloft
