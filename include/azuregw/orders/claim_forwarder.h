// Interface for committing claims and outcomes, locally or at the owner of their shard.

#ifndef AZUREGW_ORDERS_CLAIM_FORWARDER_H_
#define AZUREGW_ORDERS_CLAIM_FORWARDER_H_

#include <memory>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/orders/claim_batcher.h"
#include "azuregw/orders/claim_record.h"

namespace azuregw {

class OrderCommitter;

// Commits the claims and outcomes of this instance's orders, either in this process or at the owner
// of the shard, so that swaps of one shard rarely conflict. Safety does not depend on the choice,
// because every path ends in a compare-and-swap of the shard record.
//
// Thread-safe; calls do not block. Callbacks run on an unspecified thread.
class ClaimForwarder {
 public:
  virtual ~ClaimForwarder() = default;

  // Submits a claim. Calls `done` exactly once, no later than `deadline`. All retries use the same
  // claim ID, and none starts after `done` was called. If the result is not known, the decision is
  // kUnavailable with maybe_written.
  virtual void Submit(const Snapshot& snapshot, Claim claim, TimePoint deadline,
                      ClaimCallback done) = 0;

  // Records an outcome, retrying until it is written or this process ends; then calls `done`.
  virtual void Record(const Snapshot& snapshot, Claim outcome, RecordCallback done) = 0;

  // Makes current and later outcomes due immediately.
  virtual void Flush() = 0;
};

// Creates a forwarder that commits in this process. `committer` must outlive it.
std::unique_ptr<ClaimForwarder> MakeLocalClaimForwarder(OrderCommitter* committer);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_CLAIM_FORWARDER_H_
