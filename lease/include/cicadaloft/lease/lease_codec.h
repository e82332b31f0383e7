#ifndef CICADALOFT_LEASE_LEASE_CODEC_H_
#define CICADALOFT_LEASE_LEASE_CODEC_H_

#include <string>

#include "cicadaloft/core/result.h"
#include "cicadaloft/lease/messages.h"

namespace cicadaloft {

/// @return the record as one CBOR item.
std::string EncodeLeaseRecord(const LeaseRecord& record);

/// @return the record, or kRecordMalformed if the bytes are not a valid record.
Result<LeaseRecord> DecodeLeaseRecord(const std::string& bytes);

}  // namespace cicadaloft

#endif  // CICADALOFT_LEASE_LEASE_CODEC_H_
