// Forwarder that commits claims and outcomes at the owner of their shard, by messages between
// instances.

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

// Name of the live, not leaving member that owns the shard; `self` when there is none.
std::string ShardOwner(const Snapshot& snapshot, int shard);

// Asks the owner, again while it answers that the store is unavailable. When the owner does not
// answer within a second, the claim or outcome is committed here, with the same claim id. All
// parts must outlive the forwarder and the requests that it started.
std::unique_ptr<ClaimForwarder> MakePeerClaimForwarder(PeerService* peers,
                                                       OrderCommitter* committer,
                                                       const Clock* clock);

// Lets other instances commit here: answers their ClaimRequest and OutcomeRecord messages.
void RegisterClaimHandlers(PeerService* peers, OrderCommitter* committer, const Clock* clock);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_PEER_CLAIM_FORWARDER_H_
