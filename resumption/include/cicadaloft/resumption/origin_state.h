#ifndef CICADALOFT_RESUMPTION_ORIGIN_STATE_H_
#define CICADALOFT_RESUMPTION_ORIGIN_STATE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/step.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/resumption/known_origins.h"
#include "cicadaloft/resumption/messages.h"
#include "cicadaloft/store/store_era.h"

namespace cicadaloft {

/// What a host knows of the origins of streams: it records those that begin
/// here in the log of origins, and looks up the others there. One append and
/// one read are under way at a time; both may be under way together.
class OriginState {
 public:
  static constexpr std::size_t kMaxRecordsPerAppend = 1024;
  /// Records that are to be appended.
  static constexpr std::size_t kMaxWaitingRecords = 8192;
  static constexpr std::size_t kMaxQuestions = 8192;
  /// After a failed append, records are not acknowledged for this time, and no
  /// append is sent.
  static constexpr Duration kAppendRetryInterval =
      std::chrono::milliseconds(500);
  /// Successive reads that yield nothing although the log has records
  /// elsewhere. After these the log counts as unreachable, so that a store that
  /// contradicts itself isn't read without end.
  static constexpr int kMaxFruitlessReads = 4;

  friend Step<OriginState, OriginEffect> Decide(OriginState state,
                                                const OriginEvent& event,
                                                TimePoint now);

 private:
  struct WaitingRecord {
    OriginRecord record;
    std::optional<OriginTicket> ticket;  ///< None: it has had its reply.
    TimePoint recorded_at{};
  };
  struct Question {
    RequestId request;
    StreamKey stream;
  };

  void Handle(const RecordOrigin& request);
  void Handle(const LookUpOrigin& question);
  void Handle(const OriginAppendEnded& ended);
  void Handle(const OriginsRead& read);
  void Handle(const OriginsTrimmed& trimmed);
  void Handle(const OriginReadFailed& failed);
  void Handle(const StoreEraSeen& seen);

  bool HasAppendFailedLately() const;
  /// Appends what waits, also after a failure once the time for it has come.
  void RetryAppend();
  /// Appends the records that wait, unless an append is under way.
  void StartAppend();
  /// Sends the reply to the record's ticket if it has had none.
  void Reply(WaitingRecord& record, bool is_acknowledged);
  void DropOldestWaitingRecord();
  void DropExpired();

  /// Starts anew at a new era.
  /// @return what the era of an answer says.
  EraChange OnEra(StoreEra stated);
  /// The log may lack records that it had.
  void OnStepBack();
  /// @return whether the answer to the read that is under way is of the log as
  /// it is now, and of an offset in it.
  bool IsCurrentAnswer(StoreEra stated);

  /// Reads the log for all questions.
  void StartRead();
  void ReadOnIfNeeded();
  void OnFruitlessRead();
  /// Answers the questions whose streams have become known.
  void AnswerKnown();
  /// Answers the questions that the last read was sent for.
  void AnswerAsked(const OriginResult& result);
  void Answer(const Question& question, const OriginResult& result);

  TimePoint now{};
  std::vector<OriginEffect> effects;
  KnownOrigins known;

  std::deque<WaitingRecord> waiting;  ///< In the order of their arrival.
  /// Of this host; the store may have lost them. Appended after those that
  /// wait.
  std::deque<OriginRecord> repeated;
  std::vector<WaitingRecord> appending;
  std::optional<TimePoint>
      append_failed_at;  ///< None after an acknowledged one.

  std::vector<Question> asked;  ///< A read that was sent later is under way.
  std::vector<Question> next_asked;  ///< The next read is for these.
  /// Of the read that is under way, if any.
  std::optional<LogOffset> reading_from;
  std::optional<StoreEra> reading_era;  ///< Of `reading_from`.
  LogOffset next_offset;  ///< After the last record that has been read.
  /// The highest one that the store has stated; none before its first answer.
  std::optional<StoreEra> era;
  int fruitless_reads = 0;
};

Step<OriginState, OriginEffect> Decide(OriginState state,
                                       const OriginEvent& event,
                                       TimePoint now);

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_ORIGIN_STATE_H_
