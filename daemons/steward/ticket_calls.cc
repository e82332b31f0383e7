#include "ticket_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace cicadaloft {
namespace {

namespace asio = boost::asio;

constexpr auto kNoThrow = asio::as_tuple(asio::use_awaitable);

}  // namespace

TicketCalls::TicketCalls(asio::any_io_executor executor, StewardEventSink sink)
    : executor(std::move(executor)), sink(std::move(sink)) {}

asio::awaitable<Result<TicketOutcome>> TicketCalls::Submit(Ticket ticket,
                                                           Duration limit) {
  const std::uint64_t call = ++this->last_call;
  const auto channel = std::make_shared<AnswerChannel>(this->executor, 1);
  this->waiting.emplace(call, channel);
  asio::steady_timer timer(this->executor, limit);
  timer.async_wait([channel](boost::system::error_code) { channel->close(); });
  StewardEvent event(TicketSubmitted{.call = call, .ticket = ticket});
  co_await this->sink->async_send(boost::system::error_code(), std::move(event),
                                  kNoThrow);
  auto [error, answer] = co_await channel->async_receive(kNoThrow);
  this->waiting.erase(call);
  if (error) {
    co_return Fail(ErrorKind::kLogUnavailable,
                   "the ticket was not read back from the log in time");
  }
  co_return answer.outcome;
}

void TicketCalls::Take(const TicketAnswer& answer) {
  const auto found = this->waiting.find(answer.call);
  if (found != this->waiting.end()) {
    found->second->try_send(boost::system::error_code(), answer);
  }
}

}  // namespace cicadaloft
