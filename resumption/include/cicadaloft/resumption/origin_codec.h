#ifndef CICADALOFT_RESUMPTION_ORIGIN_CODEC_H_
#define CICADALOFT_RESUMPTION_ORIGIN_CODEC_H_

#include <string>
#include <vector>

#include "cicadaloft/core/result.h"
#include "cicadaloft/resumption/stream_origin.h"

namespace cicadaloft {

/// @return the records as one CBOR item, for one record of the store.
std::string EncodeOriginRecords(const std::vector<OriginRecord>& records);

/// @return the records, or kRecordMalformed if the bytes are not a valid list
/// of records.
Result<std::vector<OriginRecord>> DecodeOriginRecords(const std::string& bytes);

}  // namespace cicadaloft

#endif  // CICADALOFT_RESUMPTION_ORIGIN_CODEC_H_
