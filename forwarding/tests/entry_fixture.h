#ifndef CICADALOFT_FORWARDING_TESTS_ENTRY_FIXTURE_H_
#define CICADALOFT_FORWARDING_TESTS_ENTRY_FIXTURE_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cicadaloft/forwarding/boot_clock.h"
#include "cicadaloft/forwarding/caller_listener.h"
#include "cicadaloft/forwarding/entry_task.h"
#include "cicadaloft/own_interface/native_protocol.h"
#include "direct_state.h"
#include "plain_target_protocol.h"
#include "scripted_target.h"

namespace cicadaloft {

/// A caller that sends requests as raw text.
class TestCaller {
 public:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  explicit TestCaller(boost::asio::io_context& context) : socket(context) {}

  boost::asio::awaitable<void> Connect(std::uint16_t port) {
    co_await this->socket.async_connect(
        {boost::asio::ip::address_v4::loopback(), port},
        boost::asio::use_awaitable);
  }

  boost::asio::awaitable<void> Write(std::string text) {
    co_await boost::asio::async_write(
        this->socket, boost::asio::buffer(text),
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  /// Reads one response; `error` is set if it was incomplete.
  boost::asio::awaitable<Response> Read() {
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [failure, size] = co_await boost::beast::http::async_read(
        this->socket, this->buffer, parser,
        boost::asio::as_tuple(boost::asio::use_awaitable));
    this->error = failure;
    co_return parser.release();
  }

  /// Reads until `text` has arrived, or the connection has ended.
  boost::asio::awaitable<std::string> ReadUntil(std::string text) {
    std::string all;
    while (all.find(text) == std::string::npos) {
      std::string piece(4096, '\0');
      const auto [failure, size] = co_await this->socket.async_read_some(
          boost::asio::buffer(piece),
          boost::asio::as_tuple(boost::asio::use_awaitable));
      this->error = failure;
      if (failure) {
        break;
      }
      all.append(piece, 0, size);
    }
    co_return all;
  }

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
};

inline void IgnoreRecord(const DecisionRecord&) {}

/// An entry task with DirectState, a scripted target and callers.
class EntryFixture {
 public:
  explicit EntryFixture(const CallerLimits& caller_limits = {},
                        const TargetLimits& target_limits = {})
      : inbox(std::make_shared<EntryTaskMailbox>(this->context.get_executor(),
                                                 kEntryTaskMailboxCapacity)),
        drained(
            std::make_shared<DrainedMailbox>(this->context.get_executor(), 1)),
        origins(
            std::make_shared<OriginTaskMailbox>(this->context.get_executor(),
                                                kOriginTaskMailboxCapacity)),
        acceptor(std::make_shared<boost::asio::ip::tcp::acceptor>(
            this->context,
            boost::asio::ip::tcp::endpoint(
                boost::asio::ip::address_v4::loopback(),
                0))),
        target(this->context),
        plan(std::make_shared<DirectPlan>()),
        entry_task(
            this->context.get_executor(),
            DetourHost{.host = HostId("h1")},
            DirectState(this->plan),
            EntryTaskMailboxes{
                .inbox = this->inbox,
                .notifications = std::make_shared<EntryNotificationMailbox>(
                    this->context.get_executor(),
                    1),
                .drained = this->drained,
                .origins = this->origins},
            target_limits,
            BootClock{},
            &IgnoreRecord) {
    this->plan->address = this->target.Address();
    boost::asio::co_spawn(this->context, this->entry_task.Run(),
                          boost::asio::detached);
    boost::asio::co_spawn(
        this->context,
        RunCallerListener<NativeProtocol>(this->acceptor, "h1-1", this->inbox,
                                          this->stop, caller_limits),
        boost::asio::detached);
  }

  std::uint16_t Port() const { return this->acceptor->local_endpoint().port(); }

  /// Runs a test's coroutine to completion.
  template <typename F>
  void Run(F test) {
    std::exception_ptr failure;
    bool has_ended = false;
    boost::asio::co_spawn(this->context, test(),
                          [&](const std::exception_ptr& thrown) {
                            failure = thrown;
                            has_ended = true;
                            this->context.stop();
                          });
    this->context.run_for(std::chrono::seconds(60));
    if (failure) {
      std::rethrow_exception(failure);
    }
    BOOST_REQUIRE(has_ended);
  }

  /// @return the response to one request on a connection of its own.
  TestCaller::Response ResponseTo(const std::string& request) {
    TestCaller::Response response;
    this->Run([&]() -> boost::asio::awaitable<void> {
      auto caller = co_await this->ConnectCaller();
      co_await caller.Write(request);
      response = co_await caller.Read();
    });
    return response;
  }

  /// Waits until `is_met` returns true; polls every 5 ms.
  template <typename P>
  boost::asio::awaitable<void> WaitUntil(P is_met) {
    boost::asio::steady_timer timer(this->context);
    while (!is_met()) {
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  /// Waits until this many attempts have ended.
  boost::asio::awaitable<void> WaitForEndedAttempts(std::size_t count) {
    return this->WaitUntil(
        [this, count] { return this->Outcomes().size() >= count; });
  }

  boost::asio::awaitable<TestCaller> ConnectCaller() {
    return this->ConnectCaller(Port());
  }

  boost::asio::awaitable<TestCaller> ConnectCaller(std::uint16_t port) {
    TestCaller caller(this->context);
    co_await caller.Connect(port);
    co_return caller;
  }

  std::vector<AttemptOutcome> Outcomes() const {
    std::vector<AttemptOutcome> outcomes;
    const auto ended = this->plan->ReceivedEvents<AttemptEnded>();
    std::ranges::transform(ended, std::back_inserter(outcomes),
                           &AttemptEnded::outcome);
    return outcomes;
  }

  boost::asio::io_context context;
  std::shared_ptr<EntryTaskMailbox> inbox;
  std::shared_ptr<DrainedMailbox> drained;
  std::shared_ptr<OriginTaskMailbox> origins;
  std::shared_ptr<StopMailbox> stop =
      std::make_shared<StopMailbox>(this->context.get_executor(), 1);
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  ScriptedTarget target;
  std::shared_ptr<DirectPlan> plan;
  EntryTask<DirectState,
            PlainTargetProtocol,
            BootClock,
            void (*)(const DecisionRecord&)>
      entry_task;
};

/// @return a GET of a plain service.
inline std::string ServiceGet(const std::string& path,
                              const std::string& fields = "") {
  return "GET /services/catalogue" + path +
         " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
         "k1.secret-text\r\n" +
         fields + "\r\n";
}

/// @return a chat completion.
inline std::string ChatPost(const std::string& fields = "") {
  const std::string body =
      R"({"model":"m1","messages":[{"role":"user","content":"hello"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace cicadaloft

#endif  // CICADALOFT_FORWARDING_TESTS_ENTRY_FIXTURE_H_
