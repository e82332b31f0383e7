#define BOOST_TEST_MODULE settings
#include <unistd.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "cicadaloft/settings/settings_reader.h"
#include "cicadaloft/settings/socket_options.h"

namespace cicadaloft {
namespace {

SettingsReader Read(std::string_view text) {
  return SettingsReader::FromText("s.json", text);
}

/// @return the error message, or "ok".
std::string ErrorOrOk(SettingsReader& reader) {
  const Result<Done> result = reader.Finish();
  return IsOk(result) ? "ok" : ErrorOf(result).message;
}

BOOST_AUTO_TEST_CASE(CommentsAndNestedFieldsAreRead) {
  SettingsReader reader = Read(R"(// The host.
    {"host": "a-1", /* short */ "limits": {"lease_term": "6s"}})");
  BOOST_TEST(reader.Text("host") == "a-1");
  BOOST_TEST((reader.DurationOr("limits.lease_term", {}) ==
              Duration(std::chrono::seconds(6))));
  BOOST_TEST(reader.IntegerOr("count", 7, {.min = 1, .max = 9}) == 7);
  BOOST_TEST(ErrorOrOk(reader) == "ok");
}

BOOST_AUTO_TEST_CASE(FinishReportsFirstErrorWithFileAndField) {
  SettingsReader reader = Read(R"({"host": 5, "wait": "250"})");
  reader.Text("host");
  reader.DurationOr("wait", {});
  BOOST_TEST(ErrorOrOk(reader) == "s.json: host: expected a non-empty string");
}

BOOST_AUTO_TEST_CASE(InvalidDurationsAreRejected) {
  BOOST_TEST((ParseDuration("250ms") == std::chrono::milliseconds(250)));
  BOOST_TEST(!ParseDuration("250").has_value());
  BOOST_TEST(!ParseDuration("-1s").has_value());
  BOOST_TEST(!ParseDuration("1 s").has_value());
  BOOST_TEST(!ParseDuration("9223372036854775807h").has_value());
  SettingsReader reader = Read(R"({"wait": 250})");
  reader.DurationOr("wait", {});
  BOOST_TEST(
      ErrorOrOk(reader).starts_with("s.json: wait: expected a duration"));
}

BOOST_AUTO_TEST_CASE(UnknownAndDuplicateFieldsAreRejected) {
  SettingsReader unknown = Read(R"({"limits": {"a": true, "b": 1}})");
  unknown.BoolOr("limits.a", false);
  BOOST_TEST(ErrorOrOk(unknown).starts_with("s.json: limits.b: expected no"));
  SettingsReader duplicate = Read(R"({"a": "x", "a": "y"})");
  duplicate.Text("a");
  BOOST_TEST(ErrorOrOk(duplicate) == "s.json: a: expected once, found twice");
}

BOOST_AUTO_TEST_CASE(InvalidAndDuplicateAddressesAreRejected) {
  for (const std::string bad : {"localhost:1", "1.2.3.4", "1.2.3.4:65536",
                                "1.2.3.4:", "::1:7", "1.2.3.4:1x"}) {
    SettingsReader reader = Read(R"({"listen": ")" + bad + R"("})");
    reader.Address("listen");
    BOOST_TEST(
        ErrorOrOk(reader).starts_with("s.json: listen: expected an IPv4"));
  }
  SettingsReader reader = Read(R"({"a": "127.0.0.1:1", "b": "127.0.0.1:1"})");
  reader.Address("a");
  reader.Address("b");
  BOOST_TEST(ErrorOrOk(reader) ==
             "s.json: b: expected an address other than that of \"a\"");
}

BOOST_AUTO_TEST_CASE(AMissingOrInvalidFileIsNamedInTheError) {
  SettingsReader missing = SettingsReader::FromFile("no/such.json");
  missing.Text("host");
  BOOST_TEST(ErrorOrOk(missing) ==
             "no/such.json: expected a readable settings file");
  SettingsReader broken = Read("{\"a\": }");
  BOOST_TEST(ErrorOrOk(broken).starts_with("s.json: expected JSON"));
  SettingsReader list = Read("[]");
  BOOST_TEST(ErrorOrOk(list) == "s.json: expected one JSON object");
}

// Guards against hosts that can't start because another host's connection has,
// or had up to 60 s ago, their port as its local port.
BOOST_AUTO_TEST_CASE(TheLocalPortOfAConnectionKeepsNoListenerFromIt) {
  using boost::asio::ip::tcp;
  const auto loopback = boost::asio::ip::address_v4::loopback();
  boost::asio::io_context context;
  tcp::acceptor peer(context, tcp::endpoint(loopback, 0));
  for (const bool is_closed : {false, true}) {
    tcp::socket outgoing(context);
    OpenForConnect(outgoing, peer.local_endpoint());
    outgoing.connect(peer.local_endpoint());
    tcp::socket accepted = peer.accept();
    const tcp::endpoint local = outgoing.local_endpoint();
    if (is_closed) {
      outgoing.close();  // First, so that its port is in TIME_WAIT.
      accepted.close();
    }
    BOOST_CHECK_NO_THROW(tcp::acceptor(context, local));
  }
}

// Guards against connections to peers that are gone which last for minutes, as
// by the kernel's own values. With an unacknowledged timeout of 3 s the kernel
// gives up on keep-alive probes by that time, whatever their number.
BOOST_AUTO_TEST_CASE(KeepAliveOptionsEndDeadConnectionsWithinSeconds) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context, boost::asio::ip::tcp::v4());
  SetKeepAliveOptions(socket);
  const auto option = [&](int level, int name) {
    int value = 0;
    socklen_t size = sizeof(value);
    BOOST_REQUIRE_EQUAL(
        ::getsockopt(socket.native_handle(), level, name, &value, &size), 0);
    return value;
  };
  BOOST_TEST(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
  BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPIDLE) == 1);
  BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  BOOST_TEST(option(IPPROTO_TCP, TCP_KEEPCNT) == 2);
  BOOST_TEST(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 3000);
}

// Guards against starts that fail because the file is just being replaced.
BOOST_AUTO_TEST_CASE(AFileThatIsBeingWrittenIsNotWhole) {
  const std::string whole = R"({"a": {"b": "}"}} // end)";
  BOOST_TEST(Read(whole).is_whole());
  const std::size_t end = whole.rfind('}');
  for (std::size_t size = 0; size <= end; ++size) {
    BOOST_TEST(!Read(whole.substr(0, size)).is_whole());
  }
  BOOST_TEST(!SettingsReader::FromFile("no/such.json").is_whole());
}

}  // namespace
}  // namespace cicadaloft
