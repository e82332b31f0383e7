#define BOOST_TEST_MODULE operator_cli
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <vector>

#include "cicadaloft/core/sha256.h"
#include "cicadaloft/operator_cli/arguments.h"
#include "cicadaloft/operator_cli/run.h"
#include "commands.h"

namespace cicadaloft {
namespace {

using Arguments = std::vector<std::string>;

Result<Invocation> Parse(const Arguments& arguments) {
  return ParseArguments(arguments, {.stewards = "http://a:1,http://b:2"});
}

CommandResult RunWith(const Arguments& arguments) {
  const Result<Invocation> invocation = Parse(arguments);
  BOOST_REQUIRE(IsOk(invocation));
  return Run(ValueOf(invocation));
}

/// A file that is there as long as the test runs.
class TestFile {
 public:
  explicit TestFile(const std::string& text)
      : path((std::filesystem::temp_directory_path() /
              ("cicadaloft_cli_" + DrawName() + ".json"))
                 .string()) {
    std::ofstream(this->path) << text;
  }
  ~TestFile() { std::filesystem::remove(this->path); }
  TestFile(const TestFile&) = delete;
  TestFile& operator=(const TestFile&) = delete;

  const std::string& name() const { return this->path; }

 private:
  static std::string DrawName() { return ValueOf(DrawKeyMaterial()).id; }

  std::string path;
};

/// Gives answers in the order of the calls, the last one again and again.
class ScriptedSender {
 public:
  explicit ScriptedSender(std::vector<HttpAnswer> answers)
      : answers(std::move(answers)) {}

  Awaitable<Result<HttpAnswer>> Send(const HttpCall& call) {
    this->paths.push_back(call.path);
    const std::size_t index =
        std::min(this->paths.size(), this->answers.size()) - 1;
    if (this->answers[index].status == 0) {
      co_return Fail(ErrorKind::kTargetUnreachable, "down");
    }
    co_return HttpAnswer(this->answers[index]);
  }

  std::vector<std::string> paths;

 private:
  std::vector<HttpAnswer> answers;
};

CommandResult Await(Awaitable<CommandResult> task) {
  boost::asio::io_context context;
  auto result =
      boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
  context.run();
  return result.get();
}

const Ticket kTicket{.number = TicketNumber(3),
                     .author = "joana",
                     .items = {Customer{.id = CustomerId("loja"),
                                        .requests_per_second = 1,
                                        .burst_requests = 1}}};

HttpAnswer OutcomeAt(std::uint64_t offset) {
  return HttpAnswer{
      .status = 200,
      .body = FormatOutcome(TicketOutcome{.number = kTicket.number,
                                          .offset = LogOffset(offset),
                                          .digest = DigestOf(kTicket)})};
}

HttpAnswer StatusWith(std::uint64_t applied) {
  return HttpAnswer{
      .status = 200,
      .body = R"({"host": "h1", "data_centre": "dc", "next": 100, "new": 1,
                  "members": [{"host": "h2", "data_centre": "dc",
                               "incarnation": 1, "applied": )" +
              std::to_string(applied) + "}]}"};
}

CommandResult ApplyAndWait(ScriptedSender& sender) {
  const ApplyTicketFile command{.file = "f", .wait = std::chrono::seconds(1)};
  return Await(Apply(sender, kTicket, command, false));
}

BOOST_AUTO_TEST_CASE(ArgumentsNameTheCommand) {
  const auto apply = Parse({"ticket", "apply", "f.json", "--wait"});
  BOOST_REQUIRE(IsOk(apply));
  BOOST_TEST((ValueOf(apply).command ==
              Command(ApplyTicketFile{.file = "f.json",
                                      .wait = std::chrono::seconds(30)})));
  BOOST_TEST(
      (ValueOf(apply).stewards == Arguments{"http://a:1", "http://b:2"}));
  const auto show = Parse({"ticket", "show", "12", "--steward=c:3", "--json"});
  BOOST_REQUIRE(IsOk(show));
  BOOST_TEST((ValueOf(show).command ==
              Command(ShowTicket{.number = TicketNumber(12)})));
  BOOST_TEST((ValueOf(show).stewards == Arguments{"c:3"}));
  BOOST_TEST(ValueOf(show).as_json);
}

BOOST_AUTO_TEST_CASE(WrongArgumentsAreErrors) {
  const std::vector<Arguments> wrong = {
      {},
      {"ticket"},
      {"ticket", "show", "x"},
      {"ticket", "show", "0"},
      {"ticket", "show", "-1"},
      {"ticket", "apply", "f", "--timeout=soon"},
      {"status", "--color"},
      {"explain", "r1"},
  };
  for (const Arguments& arguments : wrong) {
    BOOST_TEST(!IsOk(Parse(arguments)));
  }
  BOOST_TEST(!IsOk(ParseArguments({"status"}, {})));
  BOOST_TEST(
      (RunWith({"status", "--steward=nowhere"}).code == ExitCode::kBadInput));
}

BOOST_AUTO_TEST_CASE(HelpTellsTheExitCodes) {
  const CommandResult help = RunWith({"--help"});
  BOOST_TEST((help.code == ExitCode::kOk));
  BOOST_TEST(help.output.find("Exit codes:") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AMalformedTicketNamesFileFieldAndExpectation) {
  const TestFile file(R"({"ticket": 1, "author": "a", "reason": "",
      "customers": [{"id": "loja", "requests_per_second": true}]})");
  const CommandResult result = RunWith({"ticket", "check", file.name()});
  BOOST_TEST((result.code == ExitCode::kBadInput));
  BOOST_TEST(result.error == file.name() +
                                 ": customers[0] 'loja'.requests_per_second: "
                                 "expected a finite number, found true\n");
  const TestFile empty(R"({"ticket": 1, "author": "a", "reason": ""})");
  BOOST_TEST(
      (RunWith({"ticket", "apply", empty.name()}) ==
       CommandResult{.code = ExitCode::kBadInput,
                     .error = empty.name() + ": expected 1 to 10000 items\n"}));
}

BOOST_AUTO_TEST_CASE(AFileThatCantBeReadIsNamed) {
  for (const std::string path : {"/nowhere/ticket.json", "/"}) {
    const CommandResult result = RunWith({"ticket", "check", path});
    BOOST_TEST((result.code == ExitCode::kBadInput));
    BOOST_TEST(result.error.starts_with(path + ": "));
  }
}

BOOST_AUTO_TEST_CASE(AWellFormedTicketIsShownAsItIsRead) {
  const TestFile file(FormatTicket(kTicket));
  const CommandResult result =
      RunWith({"ticket", "check", file.name(), "--json"});
  BOOST_TEST((result.code == ExitCode::kOk));
  BOOST_TEST(result.output == FormatTicket(kTicket));
}

BOOST_AUTO_TEST_CASE(ANewKeyOpensItsItem) {
  const KeyMaterial material = ValueOf(DrawKeyMaterial());
  const IssuedKey key = IssueKey(CustomerId("loja"), material);
  const std::string secret =
      key.credential.substr(key.credential.find('.') + 1);
  BOOST_TEST(key.item.secret_hash == Sha256Hex(key.item.salt + secret));
  BOOST_TEST(material.secret != ValueOf(DrawKeyMaterial()).secret);
  const Ticket ticket{
      .number = TicketNumber(1), .author = "a", .items = {key.item}};
  BOOST_TEST(!CheckTicketShape(ticket).has_value());
  const CommandResult printed = ReportKey(key, false);
  BOOST_TEST(printed.output.find(key.credential) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(WaitingEndsOnceEveryHostActsOnTheTicket) {
  ScriptedSender sender({OutcomeAt(7), StatusWith(7), StatusWith(8)});
  const CommandResult result = ApplyAndWait(sender);
  BOOST_TEST((result.code == ExitCode::kOk));
  BOOST_TEST(sender.paths.size() == 3);
  BOOST_TEST(result.output ==
             "ticket 3: accepted at offset 7\nin force on every host\n");
}

BOOST_AUTO_TEST_CASE(WaitingEndsWithTheHostsThatLag) {
  ScriptedSender sender({OutcomeAt(7), StatusWith(7)});
  const CommandResult result = ApplyAndWait(sender);
  BOOST_TEST((result.code == ExitCode::kLagging));
  BOOST_TEST(result.error == "not yet in force on: h2\n");
}

BOOST_AUTO_TEST_CASE(AStewardBehindTheTicketLagsItself) {
  const StatusReport status{.host = HostId("h1"), .next = LogOffset(7)};
  BOOST_TEST((LaggingHosts(status, LogOffset(7)) ==
              std::vector<HostId>{HostId("h1")}));
}

BOOST_AUTO_TEST_CASE(RefusalsAndSilenceHaveTheirOwnCodes) {
  const std::string problem =
      R"({"kind": "log_unavailable", "message": "no log", "run_state":
          "unknown", "advice": "Again."})";
  ScriptedSender refusing({HttpAnswer{.status = 503, .body = problem}});
  const CommandResult refused = ApplyAndWait(refusing);
  BOOST_TEST((refused.code == ExitCode::kRefused));
  BOOST_TEST(refused.error == "no log (log_unavailable, unknown). Again.\n");
  ScriptedSender silent({HttpAnswer{}});
  BOOST_TEST((ApplyAndWait(silent).code == ExitCode::kUnanswered));
  ScriptedSender garbled({HttpAnswer{.status = 200, .body = "[["}});
  BOOST_TEST((ApplyAndWait(garbled).code == ExitCode::kUnanswered));
}

/// Answers one call with the text and closes.
void ServeOnce(boost::asio::ip::tcp::acceptor& acceptor,
               const std::string& answer) {
  auto socket = acceptor.accept();
  std::string request;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                          "\r\n\r\n");
  boost::asio::write(socket, boost::asio::buffer(answer));
}

BOOST_AUTO_TEST_CASE(TheNextStewardIsTriedWhereOneIsDown) {
  using boost::asio::ip::tcp;
  boost::asio::io_context context;
  const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
  tcp::acceptor down(context, any);
  tcp::acceptor up(context, any);
  const auto url_of = [](const tcp::acceptor& acceptor) {
    return "http://127.0.0.1:" +
           std::to_string(acceptor.local_endpoint().port());
  };
  const std::string urls = url_of(down) + "," + url_of(up);
  down.close();
  auto served = std::async(std::launch::async, [&] {
    ServeOnce(up,
              "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"
              "{\"customers\": []}");
  });
  const CommandResult result = RunWith({"config", "show", "--steward=" + urls});
  served.get();
  BOOST_TEST((result.code == ExitCode::kOk));
  BOOST_TEST(result.output == "customers:\n");
  up.close();
  BOOST_TEST((RunWith({"config", "show", "--steward=" + urls}).code ==
              ExitCode::kUnanswered));
}

}  // namespace
}  // namespace cicadaloft
