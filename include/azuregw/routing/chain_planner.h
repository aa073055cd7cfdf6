// Precomputes, per topology revision, the graph of layer boundaries from which chains are chosen.

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

// Whether an engine may receive new sequences. Thread-safe.
class LeavingMark {
 public:
  // The engine said that it is leaving, possibly before the snapshot says so. The mark lapses after
  // a minute, because a replacement can return under the same name without a report.
  void OnRefusal(TimePoint now);
  // A load report, made at `made`. Returns whether the engine returned.
  bool OnReport(bool leaving, TimePoint made);
  // What the newest snapshot says. Returns whether the engine returned.
  bool OnSnapshot(bool leaving);
  bool Leaving(TimePoint now) const;

 private:
  std::atomic<int64_t> m_refused_ns{0};  // 0: not refused.
  std::atomic<bool> m_listed{false};
};

// What this instance knows about one engine; shared by all topologies that name it. Thread-safe.
struct EngineRecord {
  explicit EngineRecord(uint32_t record_id) : id(record_id) {}

  const uint32_t id;
  LoadEstimator load;
  EngineHealth health;
  SlowStart slow_start;
  LeavingMark leaving;
};

struct PlannedEngine {
  std::shared_ptr<EngineRecord> record;
  const EngineSpec* spec = nullptr;  // Owned by Topology::preset.
  int domain = 0;                    // Index into the topology's failure domains.
  int kind = 0;
  double link_ms = 0;  // Part of a step's latency that links explain, for a chain near here.
};

// Engines that hold the same layers; any of them can serve the range in a chain.
struct RangeGroup {
  LayerRange range;
  int from = 0;  // Boundary indices in the model's plan; from < to.
  int to = 0;
  std::vector<PlannedEngine> engines;  // This instance's subset; never empty.
  std::vector<PlannedEngine> others;   // Engines outside the subset, for replacements only.
};

struct ModelPlan {
  int layers = 0;
  int boundaries = 0;              // Boundary 0 is layer 0; the last one is `layers`.
  std::vector<RangeGroup> groups;  // Only groups on some complete chain; ascending in `from`.
  std::vector<int> first_group;    // Per boundary: first index in `groups`; boundaries + 1 values.
  int domains = 0;
  // Link time of one token's step at an engine, in ms, by the failure domain of the previous engine
  // and of this one: (domains + 1) x domains. The last row is for the first stage of a chain. The
  // instance calls each engine; with handle transfer the engine also fetches from the previous one.
  std::vector<double> edges;
  // Next outlier evaluation; advanced by the thread that performs it.
  mutable std::atomic<int64_t> next_evaluation_ns{0};

  double Edge(int previous_domain, int domain) const {
    const auto row = static_cast<size_t>(previous_domain) * static_cast<size_t>(domains);
    return edges[row + static_cast<size_t>(domain)];
  }
  int FirstStage() const { return domains; }  // `previous_domain` of the first stage.
};

// Immutable, apart from the evaluation times.
struct Topology {
  std::shared_ptr<const Preset> preset;
  uint64_t revision = 0;
  std::vector<std::string> domains;
  int self_domain = 0;
  std::unordered_map<std::string, std::unique_ptr<ModelPlan>> models;

  int DomainIndex(std::string_view name) const;  // -1 when unknown.
};

class ChainPlanner {
 public:
  using RecordOf = std::function<std::shared_ptr<EngineRecord>(const std::string& name)>;

  explicit ChainPlanner(size_t subset_size) : m_subset_selector(subset_size) {}

  // Leaving engines are left out. O(engines).
  std::shared_ptr<const Topology> Plan(const Snapshot& snapshot, const RecordOf& record_of) const;

 private:
  std::unique_ptr<ModelPlan> PlanModel(const Snapshot& snapshot, const Topology& topology,
                                       const std::string& name, const ModelSpec& model,
                                       std::vector<PlannedEngine> engines) const;
  void Split(const Snapshot& snapshot, const std::string& model, std::vector<PlannedEngine> all,
             RangeGroup* group) const;

  const SubsetSelector m_subset_selector;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_CHAIN_PLANNER_H_
