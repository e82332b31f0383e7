#ifndef CICADALOFT_RELAY_REPEATED_RECORDS_H_
#define CICADALOFT_RELAY_REPEATED_RECORDS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "cicadaloft/core/id.h"

namespace cicadaloft {

/// Finds the records of a keyed topic that repeat the previous record of their
/// key. A host that knows all records before a repeated one knows its content,
/// so the relays don't need to carry it.
class RepeatedRecords {
 public:
  /// Records are about to be read. Without some record between the last read
  /// and this one, nothing is known of the previous records of any key.
  /// @param era in which they were read; those of another era say nothing.
  /// @param from of the first record.
  /// @param count number of records that are passed to IsRepeated() next.
  void OnRead(StoreEra era, LogOffset from, std::size_t count);

  /// @param record without what hosts don't need; none: the key was deleted.
  /// @return whether it repeats the previous one of its key.
  bool IsRepeated(const std::string& key,
                  const std::optional<std::string>& record);

 private:
  StoreEra era;
  LogOffset next_offset;
  std::map<std::string, std::string> newest;
};

}  // namespace cicadaloft

#endif  // CICADALOFT_RELAY_REPEATED_RECORDS_H_
