#ifndef CICADALOFT_CORE_SPAWN_H_
#define CICADALOFT_CORE_SPAWN_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <compare>
#include <concepts>
#include <exception>
#include <stdexcept>
#include <string>
#include <utility>

namespace cicadaloft {

/// An exception that has left a task.
struct TaskFailure {
  const std::string task;  ///< Its name.
  const std::string what;  ///< What the exception says.

  friend auto operator<=>(const TaskFailure&, const TaskFailure&) = default;
  friend bool operator==(const TaskFailure&, const TaskFailure&) = default;
};

/// Handles the failure of a task. What it throws leaves the run() of the
/// executor's context.
template <typename H>
concept TaskFailureHandler = std::invocable<H&, const TaskFailure&>;

/// @return what the exception says, or that its type is unknown.
std::string DescribeException(const std::exception_ptr& exception);

/// Thrown out of the context's run() by EndProcess.
class TaskFailed : public std::runtime_error {
 public:
  explicit TaskFailed(const TaskFailure& failure)
      : std::runtime_error("task " + failure.task + ": " + failure.what) {}
};

/// For tasks that the host doesn't serve without, such as an accept loop: a
/// host that lives on without one looks healthy to whoever would restart it.
struct EndProcess {
  void operator()(const TaskFailure& failure) const {
    throw TaskFailed(failure);
  }
};

/// Starts a task. All tasks of the product start here, so that none ends
/// silently.
/// @param name for the log.
/// @param on_failure called when an exception leaves the task: EndProcess, or a
/// handler that logs it, cleans up after the one connection or call, and tells
/// whoever waits for its result.
template <TaskFailureHandler H>
void Spawn(const boost::asio::any_io_executor& executor,
           std::string name,
           boost::asio::awaitable<void> task,
           H on_failure) {
  boost::asio::co_spawn(
      executor, std::move(task),
      [name = std::move(name), on_failure = std::move(on_failure)](
          const std::exception_ptr& exception) mutable {
        if (exception) {
          on_failure(
              TaskFailure{.task = name, .what = DescribeException(exception)});
        }
      });
}

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_SPAWN_H_
