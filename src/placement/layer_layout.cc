// Greedy layout of layers over engines.

#include "azuregw/placement/layer_layout.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

#include "azuregw/fleet/engine_model.h"

namespace azuregw {
namespace {

// Largest share of an engine's memory that weights take. At 0.65 each of the known kinds keeps
// memory for 80 to 110 requests of usual size; at 0.8 the small ones keep memory for 20.
constexpr double kWeightShare = 0.65;
// Weight of a cell's coverage over all failure domains beside that in the engine's own.
constexpr double kFleetWeight = 0.3;
// Coverage that counts as none, in requests of usual size.
constexpr double kNoCoverage = 1.0;

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
  void Add(const std::string& domain, const LayerRange& range, double value) {
    for (int cell = 0; cell < m_cells; ++cell) {
      const LayerRange layers = Range(cell, 1);
      if (range.first <= layers.first && range.last >= layers.last) {
        m_value[domain][cell] += value;
        m_all[cell] += value;
      }
    }
  }
  double All(int cell) const { return Lookup(m_all, cell); }
  // How much a cell of `domain` gains from one more engine.
  double Need(const std::string& domain, int cell) const {
    const auto found = m_value.find(domain);
    const double local = found == m_value.end() ? 0 : Lookup(found->second, cell);
    return 1 / (kNoCoverage + local) + kFleetWeight / (kNoCoverage + Lookup(m_all, cell));
  }

 private:
  static double Lookup(const std::map<int, double>& values, int cell) {
    const auto found = values.find(cell);
    return found == values.end() ? 0 : found->second;
  }

  const EngineProfile& m_profile;
  const int m_cell_layers;
  const int m_cells;
  std::map<std::string, std::map<int, double>> m_value;
  std::map<int, double> m_all;
};

// Requests of usual size that an engine with these layers can serve, less for slow ones.
double ServiceValue(const EngineProfile& profile, const EngineModel& model, int layers) {
  const double usual = std::max(1.0, profile.usual_prompt_tokens + profile.usual_answer_tokens);
  return model.KvTokenLayers(layers) / layers / usual / model.StepFactor();
}

int CellsOf(const EngineProfile& profile, const EngineModel& model, int cell_layers) {
  const double layers = kWeightShare * model.KvTokenLayers(0) *
                        (profile.kv_bytes_per_token / profile.layers) / 1e6 / profile.layer_mb;
  return std::max(1, static_cast<int>(layers / cell_layers));
}

// The start of a range of `cells` cells that gains most for `domain`.
int BestStart(const Coverage& coverage, const std::string& domain, int cells) {
  int best = 0;
  double best_gain = -1;
  for (int start = 0; start + cells <= coverage.Cells(); ++start) {
    double gain = 0;
    for (int cell = start; cell < start + cells; ++cell) {
      gain += coverage.Need(domain, cell);
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
  const int most = static_cast<int>(kWeightShare * smallest / profile.layer_mb);
  const int bound = std::max(1, std::min(most, profile.layers));
  // A divisor of the layer count keeps all cells equal; one under half of what fits wastes memory.
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
  // Fast engines choose first; ids make the order total.
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
    const int cells = std::min(coverage.Cells(), CellsOf(profile, model, cell_layers));
    const int start = BestStart(coverage, engine->failure_domain, cells);
    const LayerRange range = coverage.Range(start, cells);
    coverage.Add(engine->failure_domain, range,
                 ServiceValue(profile, model, range.last - range.first));
    changes.push_back({engine->id, range});
  }
  if (!changes.empty()) {
    return changes;
  }
  // Every engine holds layers. A cell without any holder stops all answers, so an engine moves
  // there whose own cells are held best by others.
  int uncovered = -1;
  for (int cell = 0; cell < coverage.Cells() && uncovered < 0; ++cell) {
    if (coverage.All(cell) <= 0) {
      uncovered = cell;
    }
  }
  if (uncovered < 0) {
    return changes;
  }
  const LayoutEngine* mover = nullptr;
  double mover_left = 0;
  for (const LayoutEngine& engine : engines) {
    const EngineModel model(profile, engine.accelerator);
    const int held = std::max(1, engine.layers->last - engine.layers->first);
    const double value = ServiceValue(profile, model, held);
    double least_left = std::numeric_limits<double>::infinity();
    for (int cell = 0; cell < coverage.Cells(); ++cell) {
      const LayerRange layers = coverage.Range(cell, 1);
      if (engine.layers->first <= layers.first && engine.layers->last >= layers.last) {
        least_left = std::min(least_left, coverage.All(cell) - value);
      }
    }
    if (least_left > mover_left && model.MaxLayers() >= cell_layers) {
      mover = &engine;
      mover_left = least_left;
    }
  }
  if (mover != nullptr) {
    const EngineModel model(profile, mover->accelerator);
    const int cells = std::min(coverage.Cells(), CellsOf(profile, model, cell_layers));
    const int start = std::min(uncovered, coverage.Cells() - cells);
    changes.push_back({mover->id, coverage.Range(start, cells)});
  }
  return changes;
}

}  // namespace azuregw
