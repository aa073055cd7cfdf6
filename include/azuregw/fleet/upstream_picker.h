// Selects an upstream of a plain service (one without layers) for a request.
//
// Decision module: no I/O. Suited to few upstreams with few slots and unequal speed: selects the
// least loaded one by the larger of its recent self-reported load and the known request count, and
// prefers the caller's failure domain.

#ifndef AZUREGW_FLEET_UPSTREAM_PICKER_H_
#define AZUREGW_FLEET_UPSTREAM_PICKER_H_

#include <set>
#include <string>

#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet.h"

namespace azuregw {

// Parameters of an upstream selection.
struct PickQuery {
  std::string service;
  std::string failure_domain;      // Preferred failure domain.
  std::set<std::string> excluded;  // IDs of upstreams that must not be used.
  TimePoint now;
};

// Returns the ID of the selected upstream, or an empty string if the service has none whose rate
// limit allows a request now. Suspect upstreams are selected only when no other is available.
std::string PickUpstream(const Fleet& fleet, const PickQuery& query, Random* random);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_UPSTREAM_PICKER_H_
