#ifndef CICADALOFT_ALIGNMENT_COMPARISON_TASK_H_
#define CICADALOFT_ALIGNMENT_COMPARISON_TASK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstddef>
#include <memory>
#include <utility>

#include "cicadaloft/alignment/messages.h"
#include "cicadaloft/core/mailbox.h"
#include "cicadaloft/core/spawn.h"
#include "cicadaloft/telemetry/log_task_failure.h"

namespace cicadaloft {

/// Compares the configurations of two hosts in one call to the other one.
template <typename C>
concept ComparisonClient = requires(C& client, CompareConfigurations call) {
  {
    client.Compare(std::move(call))
  } -> std::same_as<boost::asio::awaitable<ConfigurationsCompared>>;
};

using ComparisonMailbox = Mailbox<CompareConfigurations>;

/// Comparisons that may wait for the task.
inline constexpr std::size_t kComparisonMailboxCapacity = 16;

/// Task that compares this host's configuration with those of others. Each call
/// is a task of its own.
template <ComparisonClient Client,
          std::invocable<const ConfigurationsCompared&> Report>
class ComparisonTask {
 public:
  /// @param report gets the outcome of each comparison.
  ComparisonTask(boost::asio::any_io_executor executor,
                 Client client,
                 std::shared_ptr<ComparisonMailbox> inbox,
                 Report report)
      : executor(std::move(executor)),
        client(std::make_shared<Client>(std::move(client))),
        inbox(std::move(inbox)),
        report(std::move(report)) {}

  /// Runs until the inbox is closed.
  boost::asio::awaitable<void> Run() {
    auto message = co_await Receive(*this->inbox);
    while (message != nullptr) {
      Spawn(this->executor, "comparison with " + message->host.value(),
            Compare(this->client, message, this->report),
            [host = message->host,
             report = this->report](const TaskFailure& failure) {
              LogTaskFailure{}(failure);
              report(ConfigurationsCompared{.host = host});
            });
      message = co_await Receive(*this->inbox);
    }
  }

 private:
  static boost::asio::awaitable<void> Compare(
      std::shared_ptr<Client> client,
      std::shared_ptr<const CompareConfigurations> call,
      Report report) {
    report(co_await client->Compare(*call));
  }

  const boost::asio::any_io_executor executor;
  const std::shared_ptr<Client> client;
  const std::shared_ptr<ComparisonMailbox> inbox;
  const Report report;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_ALIGNMENT_COMPARISON_TASK_H_
