// Threads that make the blocking store calls of all claim batchers of this process.
//
// The number of shards is fixed by the record azuregw/orders/layout, which the first instance that
// needs it creates. A key that moved to another shard would look unused and could run again, so a
// later change of orders.shards in the preset has no effect.

#ifndef AZUREGW_ORDERS_ORDER_COMMITTER_H_
#define AZUREGW_ORDERS_ORDER_COMMITTER_H_

#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/orders/claim_batcher.h"
#include "azuregw/orders/claim_record.h"

namespace azuregw {

struct CommitterOptions {
  BatcherOptions batcher;
  int threads = 4;
  int initial_shards = 64;  // Used when no layout record exists.
  // Swaps of all shards together, when all are busy. The store takes several hundred writes per
  // second; presets, refusals and the planner need the rest.
  int max_swaps_per_s = 200;
  std::string prefix = "azuregw/orders";
};

class OrderCommitter {
 public:
  virtual ~OrderCommitter() = default;

  // Thread-safe; do not block. The contracts are those of ClaimBatcher.
  virtual void Submit(Claim claim, TimePoint deadline, ClaimCallback done) = 0;
  virtual void Record(Claim outcome, RecordCallback done) = 0;

  // Applies to shards whose layout is not yet recorded and to the retention of all shards.
  virtual void Configure(int initial_shards, int64_t retention_ms) = 0;
  // The same from the preset of a request. Called before its claim is submitted, so that the layout
  // is never created with a default while the preset says otherwise.
  void Configure(const Snapshot& snapshot);

  // Writes queued outcomes without delay from now on.
  virtual void FlushOutcomes() = 0;
  virtual int UnwrittenOutcomes() const = 0;

  // Shard of a key; -1 until the layout is known.
  virtual int ShardOf(const std::string& key_hash) const = 0;

  // Sums over all shards.
  virtual BatcherCounters Counters() const = 0;
};

// Starts the threads. The destructor waits for calls in progress and drops queued items, whose
// callbacks then never run. `store` and `clock` must outlive the committer.
std::unique_ptr<OrderCommitter> MakeOrderCommitter(KeyValueStore* store, const Clock* clock,
                                                   CommitterOptions options);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_ORDER_COMMITTER_H_
