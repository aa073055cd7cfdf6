// Plans the layout with a greedy assignment of layer ranges to engines.

#include "azuregw/placement/layer_layout.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

#include "azuregw/fleet/engine_model.h"

namespace azuregw {
namespace {

// Maximum fraction of an engine's memory used for weights. At 0.65 each known accelerator kind has
// memory left for 80 to 110 requests of typical size; at 0.8 the small ones have memory for 20.
constexpr double kMaxWeightFraction = 0.65;
// Weight of a cell's coverage over all failure domains relative to that in the engine's own domain.
constexpr double kFleetWeight = 0.3;
// Added to a cell's coverage before it is inverted, in requests of typical size; bounds the gain of
// an uncovered cell.
constexpr double kCoverageOffset = 1.0;

// Serving capacity of each grid cell, per failure domain and in total.
class Coverage {
 public:
  Coverage(const EngineProfile& profile, int cell_layers)
      : m_profile(profile),
        m_cell_layers(cell_layers),
        m_cells((profile.layers + cell_layers - 1) / cell_layers) {}

  int Cells() const { return m_cells; }
  LayerRange Range(int first_cell, int cells) const {
    return {first_cell * m_cell_layers,
            std::min(m_profile.layers, (first_cell + cells) * m_cell_layers)};
  }
  // Adds the capacity `value` to all cells that `range` contains completely.
  void Add(const std::string& domain, const LayerRange& range, double value) {
    for (int cell = 0; cell < m_cells; ++cell) {
      const LayerRange layers = Range(cell, 1);
      if (range.first <= layers.first && range.last >= layers.last) {
        m_domain_coverage[domain][cell] += value;
        m_fleet_coverage[cell] += value;
      }
    }
  }
  double FleetCoverage(int cell) const { return Lookup(m_fleet_coverage, cell); }
  // Returns the benefit of one more engine in `domain` that holds `cell`.
  double Gain(const std::string& domain, int cell) const {
    const auto found = m_domain_coverage.find(domain);
    const double local = found == m_domain_coverage.end() ? 0 : Lookup(found->second, cell);
    return 1 / (kCoverageOffset + local) +
           kFleetWeight / (kCoverageOffset + Lookup(m_fleet_coverage, cell));
  }

 private:
  static double Lookup(const std::map<int, double>& values, int cell) {
    const auto found = values.find(cell);
    return found == values.end() ? 0 : found->second;
  }

  const EngineProfile& m_profile;
  const int m_cell_layers;
  const int m_cells;
  std::map<std::string, std::map<int, double>> m_domain_coverage;
  std::map<int, double> m_fleet_coverage;
};

// Returns the number of requests of typical size that fit into the memory of an engine with
// `layers` layers, divided by its step factor.
double ServiceValue(const EngineProfile& profile, const EngineModel& model, int layers) {
  const double typical_tokens =
      std::max(1.0, profile.usual_prompt_tokens + profile.usual_answer_tokens);
  return model.KvTokenLayers(layers) / layers / typical_tokens / model.StepFactor();
}

// Returns the number of cells whose weights take at most kMaxWeightFraction of the memory, at least
// one.
int PreferredCells(const EngineProfile& profile, const EngineModel& model, int cell_layers) {
  const double layers = kMaxWeightFraction * model.KvTokenLayers(0) *
                        (profile.kv_bytes_per_token / profile.layers) / 1e6 / profile.layer_mb;
  return std::max(1, static_cast<int>(layers / cell_layers));
}

// Returns the first cell of the range of `cells` cells with the highest gain for `domain`.
int BestStart(const Coverage& coverage, const std::string& domain, int cells) {
  int best = 0;
  double best_gain = -1;
  for (int start = 0; start + cells <= coverage.Cells(); ++start) {
    double gain = 0;
    for (int cell = start; cell < start + cells; ++cell) {
      gain += coverage.Gain(domain, cell);
    }
    if (gain > best_gain + 1e-9) {
      best = start;
      best_gain = gain;
    }
  }
  return best;
}

}  // namespace

int GridCellLayers(const EngineProfile& profile) {
  double smallest = std::numeric_limits<double>::infinity();
  for (const auto& [name, kind] : profile.kinds) {
    smallest = std::min(smallest, kind.memory_mb);
  }
  const int max_layers = static_cast<int>(kMaxWeightFraction * smallest / profile.layer_mb);
  const int bound = std::max(1, std::min(max_layers, profile.layers));
  // A divisor of the layer count makes all cells equal; one below half of what fits wastes memory.
  for (int cell = bound; cell * 2 > bound; --cell) {
    if (profile.layers % cell == 0) {
      return cell;
    }
  }
  return bound;
}

std::vector<LayoutChange> PlanLayout(const EngineProfile& profile,
                                     const std::vector<LayoutEngine>& engines) {
  const int cell_layers = GridCellLayers(profile);
  Coverage coverage(profile, cell_layers);
  std::vector<const LayoutEngine*> empty;
  for (const LayoutEngine& engine : engines) {
    if (engine.layers) {
      const EngineModel model(profile, engine.accelerator);
      const int held = std::max(1, engine.layers->last - engine.layers->first);
      coverage.Add(engine.failure_domain, *engine.layers, ServiceValue(profile, model, held));
    } else {
      empty.push_back(&engine);
    }
  }
  // Fast engines are assigned first; the ID makes the sort order total.
  std::sort(empty.begin(), empty.end(), [&](const LayoutEngine* a, const LayoutEngine* b) {
    const double a_factor = EngineModel(profile, a->accelerator).StepFactor();
    const double b_factor = EngineModel(profile, b->accelerator).StepFactor();
    return std::tie(a_factor, a->id) < std::tie(b_factor, b->id);
  });
  std::vector<LayoutChange> changes;
  for (const LayoutEngine* engine : empty) {
    const EngineModel model(profile, engine->accelerator);
    if (model.MaxLayers() < cell_layers) {
      continue;
    }
    const int cells = std::min(coverage.Cells(), PreferredCells(profile, model, cell_layers));
    const int start = BestStart(coverage, engine->failure_domain, cells);
    const LayerRange range = coverage.Range(start, cells);
    coverage.Add(engine->failure_domain, range,
                 ServiceValue(profile, model, range.last - range.first));
    changes.push_back({engine->id, range});
  }
  if (!changes.empty()) {
    return changes;
  }
  // All engines hold layers. An uncovered cell blocks all requests, so the engine whose cells have
  // the most remaining coverage without it is reassigned to that cell.
  int uncovered = -1;
  for (int cell = 0; cell < coverage.Cells() && uncovered < 0; ++cell) {
    if (coverage.FleetCoverage(cell) <= 0) {
      uncovered = cell;
    }
  }
  if (uncovered < 0) {
    return changes;
  }
  const LayoutEngine* reassigned = nullptr;
  double reassigned_min_remaining = 0;
  for (const LayoutEngine& engine : engines) {
    const EngineModel model(profile, engine.accelerator);
    const int held = std::max(1, engine.layers->last - engine.layers->first);
    const double value = ServiceValue(profile, model, held);
    double min_remaining = std::numeric_limits<double>::infinity();
    for (int cell = 0; cell < coverage.Cells(); ++cell) {
      const LayerRange layers = coverage.Range(cell, 1);
      if (engine.layers->first <= layers.first && engine.layers->last >= layers.last) {
        min_remaining = std::min(min_remaining, coverage.FleetCoverage(cell) - value);
      }
    }
    if (min_remaining > reassigned_min_remaining && model.MaxLayers() >= cell_layers) {
      reassigned = &engine;
      reassigned_min_remaining = min_remaining;
    }
  }
  if (reassigned != nullptr) {
    const EngineModel model(profile, reassigned->accelerator);
    const int cells = std::min(coverage.Cells(), PreferredCells(profile, model, cell_layers));
    const int start = std::min(uncovered, coverage.Cells() - cells);
    changes.push_back({reassigned->id, coverage.Range(start, cells)});
  }
  return changes;
}

}  // namespace azuregw
