// Indexes the prompt prefixes that engines hold in their caches, based on their cache events.

#ifndef AZUREGW_ROUTING_PREFIX_CACHE_INDEX_H_
#define AZUREGW_ROUTING_PREFIX_CACHE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <gsl/span>
#include <shared_mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "azuregw/engine/engine_client.h"

namespace azuregw {

// Maps prefix hashes to the engines that hold them. Bounded and thread-safe. Events arrive late and
// with gaps; a gap can hide evictions, so it invalidates all entries of the engine.
class PrefixCacheIndex {
 public:
  // An engine that holds a prefix of the prompt.
  struct Match {
    uint32_t engine = 0;  // EngineRecord::id.
    size_t length = 0;    // Number of leading hashes that the engine holds.
  };

  explicit PrefixCacheIndex(size_t max_prefixes) : m_max_prefixes(max_prefixes) {}

  // Applies a batch of cache events of one engine.
  void OnEvents(uint32_t engine, const CacheEvents& events);

  // Appends the engines that hold a prefix of the prompt, each once, longest prefix first. Examines
  // a bounded number of hashes and engines.
  void Find(gsl::span<const uint64_t> prefix_hashes, std::vector<Match>* matches) const;

  // Returns the number of indexed prefixes.
  size_t size() const;

 private:
  // An engine that stored a prefix.
  struct Holder {
    uint32_t engine;
    uint32_t epoch;  // Engine epoch at the time of storing; valid while it is the current one.
  };
  // State of one engine's event stream.
  struct EngineCache {
    uint64_t last_event_id = 0;  // Last event ID that was applied or is known to be lost.
    uint32_t epoch = 0;          // Incremented to invalidate all entries of the engine.
    bool seen = false;           // Whether `last_event_id` is valid.
  };

  void Store(uint32_t engine, uint32_t epoch, uint64_t prefix_hash);
  void Evict(uint32_t engine, uint64_t prefix_hash);

  const size_t m_max_prefixes;
  mutable std::shared_mutex m_mutex;
  std::unordered_map<uint64_t, std::vector<Holder>> m_holders;  // Engines by prefix hash.
  std::deque<uint64_t>
      m_insertion_order;  // Keys of m_holders, oldest first; may contain erased keys.
  std::unordered_map<uint32_t, EngineCache> m_engines;  // Event streams by EngineRecord::id.
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_PREFIX_CACHE_INDEX_H_
