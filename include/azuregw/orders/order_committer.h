// Thread pool that commits the claims and outcomes of all shards.

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

// Settings of an OrderCommitter.
struct CommitterOptions {
  BatcherOptions batcher;
  int threads = 4;          // Number of threads that make store calls.
  int initial_shards = 64;  // Number of shards if no layout record exists.
  // Maximum rate of swaps over all shards. The store handles several hundred writes per second;
  // the rest is left for presets, refusals and the planner.
  int max_swaps_per_s = 200;
  std::string prefix = "azuregw/orders";  // Key prefix of all records.
};

// Routes claims and outcomes to the ClaimBatcher of their shard and makes its store calls.
//
// The record azuregw/orders/layout fixes the number of shards; the first instance that needs it
// creates it. A key that moved to another shard would look unused and its order could run again, so
// a later change of orders.shards in the preset has no effect.
//
// Thread-safe.
class OrderCommitter {
 public:
  virtual ~OrderCommitter() = default;

  // Submits a claim or records an outcome, as ClaimBatcher does. Does not block.
  virtual void Submit(Claim claim, TimePoint deadline, ClaimCallback done) = 0;
  virtual void Record(Claim outcome, RecordCallback done) = 0;

  // Sets the number of shards to use if no layout is recorded yet, and the retention of claims.
  virtual void Configure(int initial_shards, int64_t retention_ms) = 0;
  // Sets both values from the preset in `snapshot`, if there is one. Callers do this before they
  // submit a claim, so that a layout is never created with a default that the preset overrides.
  void Configure(const Snapshot& snapshot);

  // Makes current and later outcomes due immediately.
  virtual void FlushOutcomes() = 0;
  // Returns the number of recorded outcomes that the store has not confirmed yet.
  virtual int UnwrittenOutcomes() const = 0;

  // Returns the shard of a key; -1 until the layout is known.
  virtual int ShardOf(const std::string& key_hash) const = 0;

  // Returns the totals over all shards.
  virtual BatcherCounters Counters() const = 0;
};

// Creates a committer and starts its threads. The destructor waits for calls in progress and drops
// queued items without running their callbacks. `store` and `clock` must outlive the committer.
std::unique_ptr<OrderCommitter> MakeOrderCommitter(KeyValueStore* store, const Clock* clock,
                                                   CommitterOptions options);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_ORDER_COMMITTER_H_
