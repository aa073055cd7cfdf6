// Chooses the upstream of a plain service for one request.
//
// Decision module: no I/O. It answers few upstreams with few places and unequal speed: the least
// loaded one by the newest of its own account and this instance's count, near ones first.

#ifndef AZUREGW_FLEET_UPSTREAM_PICKER_H_
#define AZUREGW_FLEET_UPSTREAM_PICKER_H_

#include <set>
#include <string>

#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet.h"

namespace azuregw {

struct PickQuery {
  std::string service;
  std::string failure_domain;
  std::set<std::string> excluded;
  TimePoint now;
};

// Returns the upstream's id, or an empty text when the service has none. Upstreams that lately
// failed are used only when no other is left.
std::string PickUpstream(const Fleet& fleet, const PickQuery& query, Random* random);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_UPSTREAM_PICKER_H_
