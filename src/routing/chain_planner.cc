// Construction of topologies and their search graphs.

#include "azuregw/routing/chain_planner.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace azuregw {
namespace {

// Returns the index of `value` in `values`; appends it if it is missing.
int Intern(const std::string& value, std::vector<std::string>* values) {
  const auto found = std::find(values->begin(), values->end(), value);
  if (found != values->end()) {
    return static_cast<int>(found - values->begin());
  }
  values->push_back(value);
  return static_cast<int>(values->size()) - 1;
}

// Returns the matrix described at ModelPlan::edge_ms.
std::vector<double> EdgeMatrix(const Topology& topology, ActivationTransfer transfer) {
  const Preset& preset = *topology.preset;
  const std::string& self = topology.domains[static_cast<size_t>(topology.self_domain)];
  const bool fetches = transfer == ActivationTransfer::kHandle;
  std::vector<double> edge_ms;
  for (const std::string& previous : topology.domains) {
    for (const std::string& domain : topology.domains) {
      const double fetch = fetches ? 2.0 * LinkMs(preset, previous, domain) : 0.0;
      edge_ms.push_back(2.0 * LinkMs(preset, self, domain) + fetch);
    }
  }
  for (const std::string& domain : topology.domains) {
    edge_ms.push_back(2.0 * LinkMs(preset, self, domain));
  }
  return edge_ms;
}

// Returns the ranges that are part of at least one chain from layer 0 to `layers`.
std::set<LayerRange> RangesOnCompleteChains(const std::set<LayerRange>& ranges, int layers) {
  std::set<int> reached = {0};
  for (const LayerRange& range : ranges) {  // Ascending in `first`.
    if (reached.count(range.first) > 0) {
      reached.insert(range.last);
    }
  }
  std::set<int> completing = {layers};
  std::set<LayerRange> useful;
  for (auto range = ranges.rbegin(); range != ranges.rend(); ++range) {
    if (completing.count(range->last) > 0) {
      completing.insert(range->first);
      if (reached.count(range->first) > 0) {
        useful.insert(*range);
      }
    }
  }
  return useful;
}

// Returns the sorted, distinct first and last layers of `ranges`.
std::vector<int> LayerBoundaries(const std::set<LayerRange>& ranges) {
  std::set<int> layers;
  for (const LayerRange& range : ranges) {
    layers.insert(range.first);
    layers.insert(range.last);
  }
  return {layers.begin(), layers.end()};
}

// Returns the index of `value`, which must be in `sorted`.
int IndexOf(const std::vector<int>& sorted, int value) {
  return static_cast<int>(std::lower_bound(sorted.begin(), sorted.end(), value) - sorted.begin());
}

}  // namespace

int Topology::DomainIndex(std::string_view name) const {
  const auto found = std::find(domains.begin(), domains.end(), name);
  return found == domains.end() ? -1 : static_cast<int>(found - domains.begin());
}

std::shared_ptr<const Topology> ChainPlanner::Plan(const Snapshot& snapshot,
                                                   const RecordLookup& lookup_record) const {
  auto topology = std::make_shared<Topology>();
  topology->preset = snapshot.preset;
  topology->revision = snapshot.topology_revision;
  const Preset& preset = *snapshot.preset;
  topology->self_domain = Intern(snapshot.failure_domain, &topology->domains);
  std::vector<std::string> kinds;
  std::unordered_map<std::string_view, std::vector<PlannedEngine>> by_model;
  for (const auto& [name, spec] : preset.engines) {
    PlannedEngine engine;
    engine.record = lookup_record(name);
    if (snapshot.leaving_upstreams.count(name) > 0) {
      continue;
    }
    engine.spec = &spec;
    engine.domain = Intern(spec.failure_domain, &topology->domains);
    engine.kind = Intern(spec.kind, &kinds);
    by_model[spec.model].push_back(std::move(engine));
  }
  for (const auto& [name, model] : preset.models) {
    topology->models[name] = PlanModel(snapshot, *topology, name, model, std::move(by_model[name]));
  }
  return topology;
}

std::unique_ptr<ModelPlan> ChainPlanner::PlanModel(const Snapshot& snapshot,
                                                   const Topology& topology,
                                                   const std::string& name, const ModelSpec& model,
                                                   std::vector<PlannedEngine> engines) const {
  auto plan = std::make_unique<ModelPlan>();
  const int layers = model.layers;
  plan->layer_count = layers;
  plan->domain_count = static_cast<int>(topology.domains.size());
  plan->edge_ms = EdgeMatrix(topology, model.transfer);
  std::map<LayerRange, std::vector<PlannedEngine>> by_range;
  std::set<LayerRange> ranges;
  for (PlannedEngine& engine : engines) {
    const LayerRange range = engine.spec->range;
    if (range.first < 0 || range.first >= range.last || range.last > layers) {
      continue;
    }
    engine.link_ms = plan->EdgeMs(topology.self_domain, engine.domain);
    ranges.insert(range);
    by_range[range].push_back(std::move(engine));
  }
  const std::set<LayerRange> useful = RangesOnCompleteChains(ranges, layers);
  const std::vector<int> boundaries = LayerBoundaries(useful);
  plan->boundary_count = static_cast<int>(boundaries.size());
  plan->first_group.assign(boundaries.size() + 1, 0);
  for (const LayerRange& range : useful) {
    RangeGroup group;
    group.range = range;
    group.begin_boundary = IndexOf(boundaries, range.first);
    group.end_boundary = IndexOf(boundaries, range.last);
    AssignSubset(snapshot, name, std::move(by_range[range]), &group);
    ++plan->first_group[static_cast<size_t>(group.begin_boundary) + 1];
    plan->groups.push_back(std::move(group));
  }
  for (size_t i = 1; i < plan->first_group.size(); ++i) {
    plan->first_group[i] += plan->first_group[i - 1];
  }
  return plan;
}

void ChainPlanner::AssignSubset(const Snapshot& snapshot, const std::string& model,
                                std::vector<PlannedEngine> all, RangeGroup* group) const {
  std::vector<SubsetCandidate> candidates;
  candidates.reserve(all.size());
  for (const PlannedEngine& engine : all) {
    candidates.push_back({engine.spec->name, engine.domain, engine.kind});
  }
  const std::string key =
      model + "/" + std::to_string(group->range.first) + "-" + std::to_string(group->range.last);
  const std::vector<size_t> chosen = m_subset_selector.Select(snapshot.self, key, candidates);
  size_t next = 0;
  for (size_t i = 0; i < all.size(); ++i) {
    const bool in_subset = next < chosen.size() && chosen[next] == i;
    next += in_subset ? 1 : 0;
    (in_subset ? group->engines : group->fallback_engines).push_back(std::move(all[i]));
  }
}

}  // namespace azuregw
