// Which engines hold which prompt prefixes, as far as their cache events tell.

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

// Bounded and thread-safe. Events come late and with gaps; a gap may hide evictions, so it discards
// everything that was known about the engine.
class PrefixCacheIndex {
 public:
  struct Match {
    uint32_t engine = 0;
    size_t length = 0;  // Number of leading hashes that the engine holds.
  };

  explicit PrefixCacheIndex(size_t max_prefixes) : m_max_prefixes(max_prefixes) {}

  void OnEvents(uint32_t engine, const CacheEvents& events);

  // Appends engines that hold a prefix of the prompt, each once, longest prefixes first. Looks at a
  // bounded number of hashes and engines.
  void Find(gsl::span<const uint64_t> prefix_hashes, std::vector<Match>* matches) const;

  size_t size() const;

 private:
  struct Holder {
    uint32_t engine;
    uint32_t epoch;  // Valid while it equals the engine's epoch.
  };
  struct EngineCache {
    uint64_t last_id = 0;  // Last event that was applied or is known to be lost.
    uint32_t epoch = 0;
    bool seen = false;
  };

  void Store(uint32_t engine, uint32_t epoch, uint64_t prefix_hash);
  void Evict(uint32_t engine, uint64_t prefix_hash);

  const size_t m_max_prefixes;
  mutable std::shared_mutex m_mutex;
  std::unordered_map<uint64_t, std::vector<Holder>> m_holders;
  std::deque<uint64_t> m_order;  // Keys of m_holders, oldest first; may hold erased keys.
  std::unordered_map<uint32_t, EngineCache> m_engines;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_PREFIX_CACHE_INDEX_H_
