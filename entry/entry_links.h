#ifndef CICADALOFT_ENTRY_ENTRY_LINKS_H_
#define CICADALOFT_ENTRY_ENTRY_LINKS_H_

#include "entry_core.h"

namespace cicadaloft {

void OnLinkReceived(EntryCore& core, const Envelope& envelope);
void OnLinkChanged(EntryCore& core, const LinkChanged& event);

}  // namespace cicadaloft

#endif  // CICADALOFT_ENTRY_ENTRY_LINKS_H_
