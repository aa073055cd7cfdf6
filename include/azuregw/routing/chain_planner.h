// Builds, per topology revision, the graph of layer boundaries that chain selection searches.

#ifndef AZUREGW_ROUTING_CHAIN_PLANNER_H_
#define AZUREGW_ROUTING_CHAIN_PLANNER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "azuregw/control/snapshot.h"
#include "azuregw/routing/load_table.h"
#include "azuregw/routing/outlier_detector.h"
#include "azuregw/routing/slow_start.h"
#include "azuregw/routing/subset_selector.h"

namespace azuregw {

// Tracks whether an engine is leaving and must receive no new sequences. Combines the engine's own
// answers with the snapshots. Thread-safe.
class LeavingState {
 public:
  // Records a request that the engine refused at `now` because it is leaving, which can precede the
  // snapshot that lists it. Expires after one minute, because a replacement can start under the
  // same name without sending a load report.
  void OnRefusal(TimePoint now);
  // Records the leaving flag of a load report measured at `measured_at`. Returns true if the report
  // clears an earlier refusal.
  bool OnReport(bool leaving, TimePoint measured_at);
  // Records the leaving flag of the newest snapshot. Returns true if the flag changed from leaving
  // to not leaving.
  bool OnSnapshot(bool leaving);
  // Returns whether the newest snapshot or an unexpired refusal marks the engine as leaving.
  bool IsLeaving(TimePoint now) const;

 private:
  std::atomic<int64_t> m_refused_ns{0};         // Time of the latest refusal; 0 if none.
  std::atomic<bool> m_snapshot_leaving{false};  // Leaving flag of the newest snapshot.
};

// Runtime state of one engine as observed by this instance. Shared by all topologies that contain
// the engine, so that it survives topology changes. Thread-safe.
struct EngineRecord {
  explicit EngineRecord(uint32_t record_id) : id(record_id) {}

  const uint32_t id;  // Key of the engine in PrefixCacheIndex.
  LoadEstimator load;
  EngineHealth health;
  SlowStart slow_start;
  LeavingState leaving;
};

// An engine of a topology: its static description and its shared runtime state.
struct PlannedEngine {
  std::shared_ptr<EngineRecord> record;
  const EngineSpec* spec = nullptr;  // Owned by Topology::preset.
  int domain = 0;                    // Index into Topology::domains.
  int kind = 0;                      // Index of the accelerator kind within the topology.
  // Link time of one step if the previous stage runs in this instance's failure domain.
  double link_ms = 0;
};

// Interchangeable engines that hold the same range of layers.
struct RangeGroup {
  LayerRange range;
  int begin_boundary = 0;  // Index of the boundary at `range.first`.
  int end_boundary = 0;    // Index of the boundary at `range.last`; above `begin_boundary`.
  std::vector<PlannedEngine> engines;  // Subset that this instance uses; never empty.
  // Engines outside the subset, used for replacements only.
  std::vector<PlannedEngine> fallback_engines;
};

// Search graph of one model: boundaries are the vertices and range groups the edges.
struct ModelPlan {
  int layer_count = 0;             // Number of layers of the model.
  int boundary_count = 0;          // Boundary 0 is layer 0, the last one `layer_count`.
  std::vector<RangeGroup> groups;  // Groups on a complete chain, by `begin_boundary`.
  // First index in `groups` per boundary, and the size of `groups`: boundary_count + 1 values.
  std::vector<int> first_group;
  int domain_count = 0;  // Number of failure domains of the topology.
  // Link time of one decode step, in ms, by the failure domain of the previous engine (row) and of
  // the called engine (column): (domain_count + 1) x domain_count values. The last row applies to
  // the first stage of a chain. Covers the round trip from the instance to the engine and, with
  // handle transfer, the engine's fetch from the previous engine.
  std::vector<double> edge_ms;
  // Time of the next outlier evaluation; advanced by the thread that performs it.
  mutable std::atomic<int64_t> next_evaluation_ns{0};

  // Returns the link time between two failure domains in ms; see `edge_ms`.
  double EdgeMs(int previous_domain, int domain) const {
    const auto row = static_cast<size_t>(previous_domain) * static_cast<size_t>(domain_count);
    return edge_ms[row + static_cast<size_t>(domain)];
  }
  // Returns the `previous_domain` to pass for the first stage of a chain.
  int EntryDomain() const { return domain_count; }
};

// Search graphs of all models under one topology revision. Immutable, apart from the evaluation
// times.
struct Topology {
  std::shared_ptr<const Preset> preset;
  uint64_t revision = 0;             // Snapshot::topology_revision.
  std::vector<std::string> domains;  // Names of the failure domains.
  int self_domain = 0;               // Index of this instance's failure domain.
  std::unordered_map<std::string, std::unique_ptr<ModelPlan>> models;

  // Returns the index of the failure domain `name`, or -1 if it is unknown.
  int DomainIndex(std::string_view name) const;
};

// Builds topologies from snapshots. Stateless apart from its options; thread-safe.
class ChainPlanner {
 public:
  // Returns the record of the named engine and creates it if it is missing.
  using RecordLookup = std::function<std::shared_ptr<EngineRecord>(const std::string& name)>;

  // `subset_size`: engines per (model, range) that this instance uses; 0 means all.
  explicit ChainPlanner(size_t subset_size) : m_subset_selector(subset_size) {}

  // Builds the topology of `snapshot`, whose preset must not be null. Calls `lookup_record` for
  // every engine of the preset, but excludes leaving engines from the result. O(engines).
  std::shared_ptr<const Topology> Plan(const Snapshot& snapshot,
                                       const RecordLookup& lookup_record) const;

 private:
  std::unique_ptr<ModelPlan> PlanModel(const Snapshot& snapshot, const Topology& topology,
                                       const std::string& name, const ModelSpec& model,
                                       std::vector<PlannedEngine> engines) const;
  // Distributes `all` between the subset and the fallback engines of `group`.
  void AssignSubset(const Snapshot& snapshot, const std::string& model,
                    std::vector<PlannedEngine> all, RangeGroup* group) const;

  const SubsetSelector m_subset_selector;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_CHAIN_PLANNER_H_
