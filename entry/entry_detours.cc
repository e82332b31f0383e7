#include "entry_core.h"

namespace cicadaloft {

void EntryCore::Handle(const TargetProbed&) {}

void EntryCore::Handle(const DetourHostsChanged&) {}

}  // namespace cicadaloft
