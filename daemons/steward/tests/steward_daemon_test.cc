#define BOOST_TEST_MODULE steward_daemon
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "node_task.h"
#include "operator_desk.h"
#include "steward_options.h"

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

/// A node that counts, in place of a steward's decisions.
struct CountState {
  int count = 0;
};
struct Add {
  const int amount = 0;
};
using CountEvent = std::variant<Add>;
struct Counted {
  const int count = 0;
};
using CountEffect = std::variant<Counted>;

Step<CountState, CountEffect> Decide(CountState state,
                                     const CountEvent& event,
                                     TimePoint /*now*/) {
  state.count += std::get<Add>(event).amount;
  const int count = state.count;
  return {.state = state, .effects = {Counted{count}}};
}

struct CountOutlet {
  std::vector<int> counts;
  void operator()(const Counted& counted) {
    this->counts.push_back(counted.count);
  }
};

using CountTask = NodeTask<CountState, CountEvent, CountEffect, CountOutlet>;

constexpr char kSettings[] = R"({
  // One host.
  "host": "a-1", "data_centre": "a", "peer_listen": "127.0.0.1:0",
  "admin_listen": "127.0.0.1:0", "platform": "127.0.0.1:9",
  "link_secret": "0123456789abcdef", "lease_term": "4s")";

Result<StewardOptions> ReadOptions(const std::string& more) {
  return ReadStewardOptions(
      SettingsReader::FromText("s.json", kSettings + more + "}"));
}

/// A view on a ledger that holds one decided ticket.
struct View {
  Ledger folded;
  const Ledger& ledger() const { return this->folded; }
  StewardStatus Status() const {
    return StewardStatus{.duties = {DutyId{.kind = DutyKind::kPlacement,
                                           .data_centre = DataCentreId("a")}}};
  }
};

struct ViewNode {
  View view;
  const View& state() const { return this->view; }
};

/// A desk with the test in place of the node.
struct Desk {
  asio::io_context context;
  StewardEventSink sink =
      std::make_shared<MessageChannel<StewardEvent>>(this->context, 10);
  StewardSettings settings{.self = Member{.host = HostId("a-1")}};
  ViewNode node;
  TicketCalls calls{this->context.get_executor(), this->sink};
  DecisionLog decisions;
  Metrics metrics;
  OperatorDesk<ViewNode> desk{this->settings, this->node, this->calls,
                              this->decisions, this->metrics};
  std::optional<AdminReply> reply;

  /// Runs until the reply is there or the desk waits for the node.
  const std::optional<AdminReply>& Ask(const std::string& method,
                                       const std::string& path,
                                       const std::string& body = "") {
    AdminRequest request{.method = method, .path = path, .body = body};
    this->reply.reset();
    asio::co_spawn(this->context, this->desk.Answer(std::move(request)),
                   [this](std::exception_ptr, AdminReply answered) {
                     this->reply.emplace(std::move(answered));
                   });
    this->context.restart();
    this->context.poll();
    return this->reply;
  }
};

std::string TicketText() {
  return FormatTicket(Ticket{.number = TicketNumber(7),
                             .author = "j",
                             .items = {Customer{.id = CustomerId("c"),
                                                .requests_per_second = 1,
                                                .burst_requests = 1}}});
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(ANodeTaskTakesEventsInOrderAndTicks) {
  asio::io_context context;
  CountOutlet outlet;
  CountTask task(CountState{}, outlet);
  MessageChannel<CountEvent> channel(context.get_executor(), 10);
  asio::co_spawn(context, task.TakeAll(channel), asio::detached);
  channel.try_send(boost::system::error_code(), Add{1});
  channel.try_send(boost::system::error_code(), Add{10});
  context.poll();
  BOOST_TEST((outlet.counts == std::vector<int>{1, 11}));
  asio::co_spawn(context,
                 task.TakeTicks(Add{100}, std::chrono::milliseconds(1)),
                 asio::detached);
  while (outlet.counts.size() < 4) {
    context.run_one();
  }
  BOOST_TEST(task.state().count == 211);
}

BOOST_AUTO_TEST_CASE(SettingsAreReadWithTheirDefaults) {
  const auto options = ReadOptions("");
  BOOST_REQUIRE(IsOk(options));
  BOOST_TEST((ValueOf(options).settings.lease_term == std::chrono::seconds(4)));
  BOOST_TEST((ValueOf(options).settings.peer_address == "127.0.0.1:0"));
  BOOST_TEST(!IsOk(ReadOptions(R"(, "renew_interval": "5s")")));
  BOOST_TEST(!IsOk(ReadOptions(R"(, "leese_term": "5s")")));
  BOOST_TEST(!IsOk(ReadOptions(R"(, "peer_address": "127.0.0.1:9")")));
}

BOOST_AUTO_TEST_CASE(ATicketIsAnsweredWhenTheNodeAnswers) {
  Desk desk;
  BOOST_TEST(!desk.Ask("POST", "/v1/tickets", TicketText()).has_value());
  const TicketOutcome outcome{
      .number = TicketNumber(7),
      .offset = LogOffset(3),
      .digest = "d",
      .refusal = Fail(ErrorKind::kTicketOvertaken, "o")};
  desk.calls.Take(TicketAnswer{.call = 1, .outcome = outcome});
  desk.context.poll();
  BOOST_REQUIRE(desk.reply.has_value());
  BOOST_TEST(desk.reply->status == 200);
  BOOST_TEST((ValueOf(ParseOutcome(desk.reply->body)) == outcome));
}

BOOST_AUTO_TEST_CASE(ATicketThatIsNoneIsRefusedAtOnce) {
  Desk desk;
  BOOST_REQUIRE(desk.Ask("POST", "/v1/tickets", "{}").has_value());
  BOOST_TEST(desk.reply->status == 400);
  BOOST_TEST(Contains(desk.reply->body, R"("kind":"ticket_malformed")"));
}

BOOST_AUTO_TEST_CASE(OperatorsSeeStatusAndDecisions) {
  Desk desk;
  BOOST_REQUIRE(desk.Ask("GET", "/v1/status").has_value());
  BOOST_TEST(Contains(desk.reply->body, R"("duties":["placement/a"])"));
  BOOST_TEST(desk.Ask("GET", "/ready")->status == 503);
  BOOST_TEST(desk.Ask("GET", "/v1/tickets/7")->status == 404);
  BOOST_TEST(desk.Ask("DELETE", "/v1/config")->status == 405);
  BOOST_TEST(desk.Ask("GET", "/v1/explain/r")->status == 404);
  desk.decisions.Write({.reason = "a.b", .request = RequestId("r")});
  BOOST_TEST(Contains(desk.Ask("GET", "/v1/explain/r")->body, "a.b"));
}

}  // namespace
}  // namespace cicadaloft
