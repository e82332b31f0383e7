#ifndef CICADALOFT_DAEMONS_STEWARD_STEWARD_OUTLET_H_
#define CICADALOFT_DAEMONS_STEWARD_STEWARD_OUTLET_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "cicadaloft/platform/platform_tasks.h"
#include "cicadaloft/platform/target_client.h"
#include "cicadaloft/steward/messages.h"
#include "cicadaloft/telemetry/decision_log.h"
#include "cicadaloft/telemetry/metrics.h"
#include "peer_links.h"
#include "ticket_calls.h"

namespace cicadaloft {

/// Hands each of a steward's effects to the task that carries it out.
class StewardOutlet {
 public:
  /// What is handed in by reference must outlive the outlet.
  StewardOutlet(const boost::asio::any_io_executor& executor,
                const PlatformSettings& platform,
                const TargetClientSettings& targets,
                StewardEventSink sink,
                PeerLinks& links,
                TicketCalls& calls,
                DecisionLog& decisions,
                Metrics& metrics);

  void operator()(const AppendRecords& append);
  void operator()(const ReadLog& read);
  void operator()(const SendPeer& send);
  void operator()(const SendEntry& send);
  void operator()(const HoldLink& link);
  void operator()(const PollTarget& poll);
  void operator()(const OrderTarget& order);
  void operator()(const TicketAnswer& answer);
  void operator()(const DecisionLine& line);
  void operator()(const StewardStopped& stopped);

  /// Hears once that the steward has handed its rights over.
  MessageChannel<StewardStopped>& stopped() { return *this->stopped_channel; }

 private:
  /// Tells the node something that a task could not.
  void TellLater(StewardEvent event);

  boost::asio::any_io_executor executor;
  StewardEventSink sink;
  Mailbox<AppendRecords> writer;
  Mailbox<ReadLog> reader;
  TargetClient target_client;
  PeerLinks& links;
  TicketCalls& calls;
  DecisionLog& decisions;
  Metrics& metrics;
  std::shared_ptr<MessageChannel<StewardStopped>> stopped_channel;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_DAEMONS_STEWARD_STEWARD_OUTLET_H_
