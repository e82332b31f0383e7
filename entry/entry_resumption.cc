#include "entry_core.h"

namespace cicadaloft {

void EntryCore::Handle(const OriginLookedUp&) {}

}  // namespace cicadaloft
