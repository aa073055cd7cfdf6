// Plans the layout with a greedy assignment of layer ranges to engines.

#include "azuregw/placement/layer_layout.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/placement/layout_shape.h"
#include "placement/layout_coverage.h"

namespace azuregw {
namespace {

// Minimum improvement of one failure domain's score for which an engine is reassigned: that of 1.6
// times the requests at its weakest cell, or of a tenth of the layers covered.
constexpr double kMinMoveGain = 0.5;
// Engines per change that may be in progress when another engine is reassigned. An engine that
// changes its layers serves nothing for some seconds.
constexpr size_t kMinEnginesPerConcurrentChange = 16;

// Returns the number of cells per range of an engine; 0 if its memory cannot hold a cell.
int CellsFor(const LayoutShape& shape, const LayoutCoverage& coverage, const EngineModel& model,
             const std::string& kind) {
  const int cells = std::min(coverage.Cells(), shape.CellsOf(kind));
  return cells * shape.cell_layers <= model.MaxLayers() ? cells : 0;
}

// Returns the reassignment of one engine that improves the layout most, if it is worth the time for
// which the engine serves nothing. An engine that fails permanently, or a release that replaces
// many, leaves some cells with few holders and others with too many.
std::optional<LayoutChange> BestMove(const EngineProfile& profile, const LayoutShape& shape,
                                     const LayoutCoverage& coverage,
                                     const std::vector<LayoutEngine>& engines) {
  const double score = coverage.Score();
  double best_gain = kMinMoveGain / std::max(1, coverage.Domains());
  std::optional<LayoutChange> best;
  std::set<std::tuple<std::string, std::string, int, int>> tried;
  for (const LayoutEngine& engine : engines) {
    if (!engine.layers || engine.changing) {
      continue;  // An engine without layers cannot hold a cell.
    }
    // Engines of one kind in one domain with the same layers are equivalent.
    if (!tried
             .emplace(engine.failure_domain, engine.accelerator, engine.layers->first,
                      engine.layers->last)
             .second) {
      continue;
    }
    const EngineModel model(profile, engine.accelerator);
    const int cells = CellsFor(shape, coverage, model, engine.accelerator);
    if (cells == 0) {
      continue;
    }
    LayoutCoverage moved = coverage;
    const int domain = moved.DomainIndex(engine.failure_domain);
    const int held = std::max(1, engine.layers->last - engine.layers->first);
    moved.Remove(domain, *engine.layers, RequestCapacity(profile, model, held));
    const LayerRange range = moved.Range(moved.BestStart(domain, cells), cells);
    moved.Add(domain, range, RequestCapacity(profile, model, range.last - range.first));
    const double gain = moved.Score() - score;
    if (gain > best_gain && !(range == *engine.layers)) {
      best_gain = gain;
      best = LayoutChange{engine.id, range};
    }
  }
  return best;
}

}  // namespace

std::vector<LayoutChange> PlanLayout(const EngineProfile& profile,
                                     const std::vector<LayoutEngine>& engines) {
  const LayoutShape shape = ChooseLayoutShape(profile, engines);
  LayoutCoverage coverage(profile, shape.cell_layers);
  std::vector<const LayoutEngine*> empty;
  for (const LayoutEngine& engine : engines) {
    const int domain = coverage.DomainIndex(engine.failure_domain);
    if (engine.layers) {
      const EngineModel model(profile, engine.accelerator);
      const int held = std::max(1, engine.layers->last - engine.layers->first);
      coverage.Add(domain, *engine.layers, RequestCapacity(profile, model, held));
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
    const int cells = CellsFor(shape, coverage, model, engine->accelerator);
    if (cells == 0) {
      continue;
    }
    const int domain = coverage.DomainIndex(engine->failure_domain);
    const LayerRange range = coverage.Range(coverage.BestStart(domain, cells), cells);
    coverage.Add(domain, range, RequestCapacity(profile, model, range.last - range.first));
    changes.push_back({engine->id, range});
  }
  const auto changing = std::count_if(engines.begin(), engines.end(),
                                      [](const LayoutEngine& engine) { return engine.changing; });
  if (!changes.empty() ||
      static_cast<size_t>(changing) > engines.size() / kMinEnginesPerConcurrentChange) {
    return changes;
  }
  if (const std::optional<LayoutChange> move = BestMove(profile, shape, coverage, engines)) {
    changes.push_back(*move);
  }
  return changes;
}

}  // namespace azuregw
