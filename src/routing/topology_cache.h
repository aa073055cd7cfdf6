// The topologies of the snapshots that requests in progress use.

#ifndef SRC_ROUTING_TOPOLOGY_CACHE_H_
#define SRC_ROUTING_TOPOLOGY_CACHE_H_

#include <memory>
#include <shared_mutex>
#include <vector>

#include "azuregw/routing/chain_planner.h"
#include "routing/engine_table.h"

namespace azuregw {

// Thread-safe. Keeps the latest few topologies, because requests that were admitted earlier still
// select replacements under their own snapshot.
class TopologyCache {
 public:
  // `engines` must outlive the cache.
  TopologyCache(size_t subset_size, EngineTable* engines)
      : m_planner(subset_size), m_engines(engines) {}

  // `snapshot.preset` must not be null.
  std::shared_ptr<const Topology> Get(const Snapshot& snapshot, TimePoint now);

 private:
  std::shared_ptr<const Topology> Find(const Snapshot& snapshot) const;
  std::shared_ptr<const Topology> Build(const Snapshot& snapshot, TimePoint now);

  const ChainPlanner m_planner;
  EngineTable* const m_engines;
  mutable std::shared_mutex m_mutex;
  std::vector<std::shared_ptr<const Topology>> m_topologies;  // Newest first.
};

}  // namespace azuregw

#endif  // SRC_ROUTING_TOPOLOGY_CACHE_H_
