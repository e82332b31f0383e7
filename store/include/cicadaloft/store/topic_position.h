#ifndef CICADALOFT_STORE_TOPIC_POSITION_H_
#define CICADALOFT_STORE_TOPIC_POSITION_H_

#include <chrono>
#include <optional>

#include "cicadaloft/core/id.h"
#include "cicadaloft/core/time.h"
#include "cicadaloft/store/messages.h"
#include "cicadaloft/store/store_era.h"

namespace cicadaloft {

/// What a snapshot of a topic is to a reader that has read the topic before.
enum class SnapshotKind {
  kNewer,     ///< It has all records that were read.
  kRestored,  ///< The store has come back from an older copy.
  kOlder,     ///< It lacks records that were read. They can't be gone.
  kOutdated,  ///< Its era is.
};

/// Up to where a reader has read a topic, and in which era of the store.
class TopicPosition {
 public:
  /// Without an era only time tells a restored log from the answer of a part of
  /// the store that lags behind. Longer than a call may take.
  static constexpr Duration kMaxTimeBehind = std::chrono::seconds(2);

  /// @param era that an answer states; later answers of lower eras are
  /// outdated.
  /// @return what it says about the position.
  EraChange OnAnswer(StoreEra era) {
    const EraChange change = CompareEras(this->newest_era, era);
    if (change == EraChange::kNew) {
      this->newest_era = era;
    }
    return change;
  }

  /// Moves to the end of the snapshot if that is newer or restored.
  SnapshotKind OnSnapshot(const NewestRecords& newest, TimePoint now) {
    if (this->OnAnswer(newest.era) == EraChange::kOutdated) {
      return SnapshotKind::kOutdated;
    }
    const SnapshotKind kind = this->Compare(newest, now);
    if (kind != SnapshotKind::kOlder) {
      this->era = newest.era;
      this->next = newest.end_offset;
      this->behind_since.reset();
    }
    return kind;
  }

  /// All records before `offset` have been read.
  void MoveTo(LogOffset offset) { this->next = offset; }

  /// @return whether the position is of this era or a later one.
  bool HasReached(StoreEra wanted) const {
    return this->era && *this->era >= wanted;
  }
  LogOffset next_offset() const { return this->next; }

 private:
  SnapshotKind Compare(const NewestRecords& newest, TimePoint now) {
    if (this->era && *this->era != newest.era) {
      return SnapshotKind::kRestored;
    }
    if (newest.end_offset >= this->next) {
      return SnapshotKind::kNewer;
    }
    this->behind_since = this->behind_since.value_or(now);
    const bool is_restored =
        newest.era == StoreEra() && now - *this->behind_since >= kMaxTimeBehind;
    return is_restored ? SnapshotKind::kRestored : SnapshotKind::kOlder;
  }

  LogOffset next;
  std::optional<StoreEra> era;  ///< Of `next`; none before the first snapshot.
  StoreEra newest_era;          ///< Of all answers.
  /// When a snapshot first ended below `next`, since the last accepted one.
  std::optional<TimePoint> behind_since;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_STORE_TOPIC_POSITION_H_
