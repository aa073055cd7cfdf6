// Claims and their replies as messages between instances (schemas/peer.fbs).

#ifndef ORDERS_CLAIM_WIRE_H_
#define ORDERS_CLAIM_WIRE_H_

#include "azuregw/base/clock.h"
#include "azuregw/orders/claim_batcher.h"
#include "azuregw/orders/claim_record.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

wire::EnvelopeT ToClaimRequest(const Claim& claim, int shard, Milliseconds wait);
Claim FromClaimRequest(const wire::ClaimRequestT& request);

wire::EnvelopeT ToClaimReply(const ClaimReply& reply);
// `claim` is the one that was asked for.
ClaimReply FromClaimReply(const wire::ClaimReplyT& reply, const Claim& claim);

wire::OutcomeRecordT ToOutcomeRecord(const Claim& claim, int shard);
Claim FromOutcomeRecord(const wire::OutcomeRecordT& record);

}  // namespace azuregw

#endif  // ORDERS_CLAIM_WIRE_H_
