#ifndef CICADALOFT_ENTRY_REQUEST_FINGERPRINTS_H_
#define CICADALOFT_ENTRY_REQUEST_FINGERPRINTS_H_

#include "cicadaloft/entry/messages.h"
#include "cicadaloft/poison/fingerprint.h"

namespace cicadaloft {

/// @return what identifies the request, and the parts that it shares with
/// others.
Fingerprints FingerprintsOf(const RequestArrived& arrival);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_REQUEST_FINGERPRINTS_H_
