// The platform's key-value service, as azuregw sees it: compare-and-swap, leases and watches.
//
// All calls block their thread for at most the backend's call timeout (a watch for its wait in
// addition), so they are made on platform worker threads and never on the control thread or a
// traffic thread. Implementations are thread-safe.

#ifndef AZUREGW_KV_KEY_VALUE_STORE_H_
#define AZUREGW_KV_KEY_VALUE_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

struct KvEntry {
  std::string key;
  std::string value;
  uint64_t revision = 0;  // Of the last change of this key; 0 means that the key is absent.
  uint64_t lease = 0;     // That the key depends on, as far as the store states it; 0 for none.
};

struct KvWatchReply {
  std::vector<KvEntry> entries;  // Changed since the revision asked for; empty when the wait ended.
  uint64_t revision = 0;         // To be passed to the next watch.
};

class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  // Returns nullopt when the key is absent. Errors: kKvUnavailable.
  virtual Result<std::optional<KvEntry>> Get(std::string_view key) = 0;

  // Entries whose key starts with `prefix`, in key order. Errors: kKvUnavailable.
  virtual Result<std::vector<KvEntry>> List(std::string_view prefix) = 0;

  // Writes `value` if the key's revision is `expected` (0: absent); returns the new revision. A
  // non-empty `lease` ties the key to that lease. Errors: kKvConflict (not written), kLeaseLapsed
  // (not written), kKvUnavailable (not written), kKvOutcomeUnknown (the reply was lost; read back).
  virtual Result<uint64_t> CompareAndSwap(std::string_view key, uint64_t expected,
                                          std::string_view value, std::string_view lease) = 0;

  // Deletes the key if its revision is `expected`. Errors as for CompareAndSwap, and kKvNotFound.
  virtual Result<uint64_t> Delete(std::string_view key, uint64_t expected) = 0;

  // Waits up to `wait` for a change under `prefix` after revision `after`. Errors: kKvUnavailable.
  virtual Result<KvWatchReply> Watch(std::string_view prefix, uint64_t after,
                                     Milliseconds wait) = 0;

  // Returns the id of a new lease. Errors: kKvUnavailable, kKvOutcomeUnknown.
  virtual Result<std::string> GrantLease(Milliseconds ttl) = 0;

  // Errors: kLeaseLapsed, kKvUnavailable.
  virtual Result<void> RenewLease(std::string_view lease) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_KV_KEY_VALUE_STORE_H_
