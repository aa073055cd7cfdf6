// Lookup and construction of cached topologies.

#include "routing/topology_cache.h"

#include <mutex>
#include <string>

namespace azuregw {
namespace {

// Capacity of the cache.
constexpr size_t kMaxTopologies = 4;

}  // namespace

std::shared_ptr<const Topology> TopologyCache::Get(const Snapshot& snapshot, TimePoint now) {
  {
    const std::shared_lock<std::shared_mutex> lock(m_mutex);
    if (auto topology = Find(snapshot)) {
      return topology;
    }
  }
  const std::unique_lock<std::shared_mutex> lock(m_mutex);
  if (auto topology = Find(snapshot)) {
    return topology;
  }
  return Build(snapshot, now);
}

std::shared_ptr<const Topology> TopologyCache::Find(const Snapshot& snapshot) const {
  for (const auto& topology : m_topologies) {
    if (topology->revision == snapshot.topology_revision && topology->preset == snapshot.preset) {
      return topology;
    }
  }
  return nullptr;
}

std::shared_ptr<const Topology> TopologyCache::Build(const Snapshot& snapshot, TimePoint now) {
  // Engines of the first topology are new to this instance but not to the fleet, so they get no
  // slow start.
  const bool first = m_topologies.empty();
  const bool newest = first || snapshot.topology_revision > m_topologies.front()->revision;
  const auto lookup_record = [&](const std::string& name) {
    bool created = false;
    auto record = m_engines->FindOrCreate(name, &created);
    const bool leaving = snapshot.leaving_upstreams.count(name) > 0;
    const bool returned = newest && record->leaving.OnSnapshot(leaving);
    if (returned || (created && !first)) {
      record->slow_start.Begin(now);
    }
    return record;
  };
  auto topology = m_planner.Plan(snapshot, lookup_record);
  if (newest) {
    m_engines->RetainOnly(*snapshot.preset);
  }
  m_topologies.insert(newest ? m_topologies.begin() : m_topologies.end(), topology);
  if (m_topologies.size() > kMaxTopologies) {
    m_topologies.erase(newest ? m_topologies.end() - 1 : m_topologies.end() - 2);
  }
  return topology;
}

}  // namespace azuregw
