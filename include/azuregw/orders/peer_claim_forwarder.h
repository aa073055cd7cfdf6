// Commit of claims and outcomes at the owner of their shard, by messages between instances.

#ifndef AZUREGW_ORDERS_PEER_CLAIM_FORWARDER_H_
#define AZUREGW_ORDERS_PEER_CLAIM_FORWARDER_H_

#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/orders/claim_forwarder.h"
#include "azuregw/orders/order_committer.h"
#include "azuregw/peer/peer_service.h"

namespace azuregw {

// Returns the name of the member that owns the shard; `self` if all members are leaving.
std::string ShardOwner(const Snapshot& snapshot, int shard);

// Creates a forwarder that sends claims and outcomes to the owner of their shard, and sends a claim
// again while the owner reports the store as unavailable. If the owner does not answer within one
// second, the claim or outcome is committed in this process, with the same claim ID. All arguments
// must outlive the forwarder and the requests that it started.
std::unique_ptr<ClaimForwarder> MakePeerClaimForwarder(PeerService* peers,
                                                       OrderCommitter* committer,
                                                       const Clock* clock);

// Registers handlers that commit the claims (ClaimRequest) and outcomes (OutcomeRecord) sent by
// other instances. `committer` and `clock` must outlive `peers`.
void RegisterClaimHandlers(PeerService* peers, OrderCommitter* committer, const Clock* clock);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_PEER_CLAIM_FORWARDER_H_
