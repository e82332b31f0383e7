#ifndef CICADALOFT_STORE_STORE_H_
#define CICADALOFT_STORE_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <string>

#include "cicadaloft/core/result.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/store/messages.h"

namespace cicadaloft {

/// A connection to the durable store, which keeps append-only logs by topic.
/// A call fails with kStoreUnavailable if it was refused and had no effect, and
/// with kStoreUnanswered if it may have taken effect or may still do so.
template <typename S>
concept Store = requires(S& store,
                         const std::string& topic,
                         LogOffset offset,
                         Duration wait,
                         const std::string& record) {
  {
    store.ReadNewest(topic)
  } -> std::same_as<boost::asio::awaitable<Result<NewestRecords>>>;
  {
    store.Read(topic, offset, wait)
  } -> std::same_as<boost::asio::awaitable<Result<LogReadOutcome>>>;
  {
    store.AppendAt(topic, offset, record)
  } -> std::same_as<boost::asio::awaitable<Result<AppendOutcome>>>;
};

/// A store that also appends at the end of a log, wherever that is. The errors
/// are those of a Store.
template <typename S>
concept AppendingStore =
    Store<S> &&
    requires(S& store, const std::string& topic, const std::string& record) {
      {
        store.Append(topic, record)
      } -> std::same_as<boost::asio::awaitable<Result<Appended>>>;
    };

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_STORE_H_
