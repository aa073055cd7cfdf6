// Conversion between claims and messages between instances (schemas/peer.fbs).

#ifndef ORDERS_CLAIM_WIRE_H_
#define ORDERS_CLAIM_WIRE_H_

#include "azuregw/base/clock.h"
#include "azuregw/orders/claim_batcher.h"
#include "azuregw/orders/claim_record.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

// `wait` is the time for which the owner may keep the claim queued.
wire::EnvelopeT ToClaimRequest(const Claim& claim, int shard, Milliseconds wait);
Claim FromClaimRequest(const wire::ClaimRequestT& request);

wire::EnvelopeT ToClaimReply(const ClaimReply& reply);
// `claim` is the claim of the request.
ClaimReply FromClaimReply(const wire::ClaimReplyT& reply, const Claim& claim);

wire::OutcomeRecordT ToOutcomeRecord(const Claim& claim, int shard);
Claim FromOutcomeRecord(const wire::OutcomeRecordT& record);

}  // namespace azuregw

#endif  // ORDERS_CLAIM_WIRE_H_
