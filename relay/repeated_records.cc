#include "cicadaloft/relay/repeated_records.h"

namespace cicadaloft {

void RepeatedRecords::OnRead(StoreEra era, LogOffset from, std::size_t count) {
  if (era != this->era || from != this->next_offset) {
    this->newest.clear();
  }
  this->era = era;
  this->next_offset = LogOffset(from.value() + count);
}

bool RepeatedRecords::IsRepeated(const std::string& key,
                                 const std::optional<std::string>& record) {
  if (!record) {
    this->newest.erase(key);
    return false;
  }
  std::string& previous = this->newest[key];
  if (previous == *record) {
    return true;
  }
  previous = *record;
  return false;
}

}  // namespace cicadaloft
