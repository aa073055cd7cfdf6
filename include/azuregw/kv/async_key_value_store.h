// The platform's key-value service for single-threaded parts: the calls of KeyValueStore with
// callbacks in place of blocking.

#ifndef AZUREGW_KV_ASYNC_KEY_VALUE_STORE_H_
#define AZUREGW_KV_ASYNC_KEY_VALUE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/kv/store_era.h"

namespace azuregw {

enum class ReadMode {
  kNewest,   // Linearizable; counts as a call.
  kBounded,  // May be seconds old; costs a tenth.
};

struct KvReading {
  std::optional<KvEntry> entry;
  uint64_t store_revision = 0;  // To be passed to a watch.
};

struct KvListing {
  std::vector<KvEntry> entries;
  uint64_t store_revision = 0;
};

// Each call invokes its callback once, from the event loop, at the latest after its time limit.
class AsyncKeyValueStore {
 public:
  template <class T>
  using ReplyCallback = std::function<void(Result<T>)>;

  virtual ~AsyncKeyValueStore() = default;
  // Returns the era of the store as known from its answers. Lives as long as the store.
  virtual StoreEra* Era() = 0;
  // Errors: kKvUnavailable.
  virtual void Get(const std::string& key, ReadMode mode, ReplyCallback<KvReading> done) = 0;
  // All pages; they are not a snapshot. Errors: kKvUnavailable.
  virtual void List(const std::string& prefix, ReadMode mode, ReplyCallback<KvListing> done) = 0;
  // Deleted keys have the revision 0. Errors: kKvUnavailable, kKvHistoryGone.
  virtual void Watch(const std::string& prefix, uint64_t after, Milliseconds wait,
                     ReplyCallback<KvWatchReply> done) = 0;
  // As KeyValueStore::CompareAndSwap; a lease of 0 is none.
  virtual void CompareAndSwap(const std::string& key, uint64_t expected, const std::string& value,
                              uint64_t lease, ReplyCallback<uint64_t> done) = 0;
  virtual void GrantLease(Milliseconds ttl, ReplyCallback<uint64_t> done) = 0;
  // Errors: kLeaseLapsed, kKvUnavailable.
  virtual void RenewLease(uint64_t lease, ReplyCallback<Milliseconds> done) = 0;
  virtual void EndLease(uint64_t lease, ReplyCallback<Milliseconds> done) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_KV_ASYNC_KEY_VALUE_STORE_H_
