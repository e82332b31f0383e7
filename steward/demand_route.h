#ifndef CICADALOFT_STEWARD_DEMAND_ROUTE_H_
#define CICADALOFT_STEWARD_DEMAND_ROUTE_H_

#include <optional>
#include <vector>

#include "cicadaloft/ledger/ledger.h"

namespace cicadaloft {

/// @return the data centres that may place the model, the first asked first:
/// those that hold it or its base model, then by rendezvous.
std::vector<DataCentreId> PlacementOrderOf(const Ledger& ledger,
                                           const ModelId& model);

/// @return the data centres that hold the model.
std::vector<DataCentreId> HoldingDataCentres(const Ledger& ledger,
                                             const ModelId& model);

/// @return the host that owns the placement of a data centre.
std::optional<HostId> PlacementOwnerOf(const Ledger& ledger,
                                       const DataCentreId& data_centre);

/// @return data centres in service that have members; at least 1.
std::uint32_t CountDataCentres(const Ledger& ledger);

/// @return whether a data centre that reaches no other may load the model, so
/// that all together keep to its number of replicas.
bool MayLoadCutOff(const Ledger& ledger,
                   const ModelId& model,
                   const DataCentreId& data_centre);

}  // namespace cicadaloft

#endif  // CICADALOFT_STEWARD_DEMAND_ROUTE_H_
