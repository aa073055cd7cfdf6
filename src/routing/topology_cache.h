// Cache of the topologies that requests in progress use.

#ifndef SRC_ROUTING_TOPOLOGY_CACHE_H_
#define SRC_ROUTING_TOPOLOGY_CACHE_H_

#include <memory>
#include <shared_mutex>
#include <vector>

#include "azuregw/routing/chain_planner.h"
#include "routing/engine_table.h"

namespace azuregw {

// Provides the topology of a snapshot. Keeps the latest few topologies, because requests that were
// admitted earlier select replacements under their own snapshot. Thread-safe.
class TopologyCache {
 public:
  // `engines` must outlive the cache. `subset_size`: engines per (model, range); 0 means all.
  TopologyCache(size_t subset_size, EngineTable* engines)
      : m_planner(subset_size), m_engines(engines) {}

  // Returns the topology of `snapshot` and builds it if it is not cached. `snapshot.preset` must
  // not be null.
  std::shared_ptr<const Topology> Get(const Snapshot& snapshot, TimePoint now);

 private:
  // Requires m_mutex. Returns null if the topology is not cached.
  std::shared_ptr<const Topology> Find(const Snapshot& snapshot) const;
  // Requires m_mutex held exclusively. Builds the topology and adds it to the cache.
  std::shared_ptr<const Topology> Build(const Snapshot& snapshot, TimePoint now);

  const ChainPlanner m_planner;
  EngineTable* const m_engines;
  mutable std::shared_mutex m_mutex;
  std::vector<std::shared_ptr<const Topology>> m_topologies;  // Newest first.
};

}  // namespace azuregw

#endif  // SRC_ROUTING_TOPOLOGY_CACHE_H_
