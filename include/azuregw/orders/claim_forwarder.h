// Where the claims and outcomes of this instance's orders are committed: here, or at the owner of
// the shard, so that swaps of one shard rarely conflict. Safety does not depend on the choice,
// because every path ends in a compare-and-swap of the shard record.

#ifndef AZUREGW_ORDERS_CLAIM_FORWARDER_H_
#define AZUREGW_ORDERS_CLAIM_FORWARDER_H_

#include <memory>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/orders/claim_batcher.h"
#include "azuregw/orders/claim_record.h"

namespace azuregw {

class OrderCommitter;

// Thread-safe; calls do not block. Callbacks run on an unspecified thread.
class ClaimForwarder {
 public:
  virtual ~ClaimForwarder() = default;

  // Calls `done` exactly once, at `deadline` at the latest. Every repetition on the way uses the
  // same claim id, and none is started after `done` was called. When the fate of the claim is not
  // known, the verdict is kUnavailable with maybe_written.
  virtual void Submit(const Snapshot& snapshot, Claim claim, TimePoint deadline,
                      ClaimCallback done) = 0;

  // Records an outcome. It is retried until it is written or this process ends.
  virtual void Record(const Snapshot& snapshot, Claim outcome, RecordCallback done) = 0;

  // Writes queued outcomes without delay from now on.
  virtual void Flush() = 0;
};

// Commits everything in this instance. `committer` must outlive the forwarder.
std::unique_ptr<ClaimForwarder> MakeLocalClaimForwarder(OrderCommitter* committer);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_CLAIM_FORWARDER_H_
