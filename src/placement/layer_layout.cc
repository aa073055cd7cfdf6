// Plans the layout with a greedy assignment of layer ranges to engines.

#include "azuregw/placement/layer_layout.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "azuregw/fleet/engine_model.h"
#include "azuregw/placement/layout_shape.h"
#include "placement/layout_coverage.h"

namespace azuregw {
namespace {

// Returns the number of cells per range of an engine; 0 if its memory cannot hold a cell.
int CellsFor(const LayoutShape& shape, const LayoutCoverage& coverage, const EngineModel& model,
             const std::string& kind) {
  const int cells = std::min(coverage.Cells(), shape.CellsOf(kind));
  return cells * shape.cell_layers <= model.MaxLayers() ? cells : 0;
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
  if (!changes.empty()) {
    return changes;
  }
  // All engines hold layers. An uncovered cell blocks all requests, so the engine whose cells have
  // the most remaining coverage without it is reassigned to that cell.
  int uncovered = -1;
  for (int cell = 0; cell < coverage.Cells() && uncovered < 0; ++cell) {
    if (coverage.InFleet(cell).requests <= 0) {
      uncovered = cell;
    }
  }
  if (uncovered < 0) {
    return changes;
  }
  const LayoutEngine* reassigned = nullptr;
  double reassigned_min_remaining = 0;
  for (const LayoutEngine& engine : engines) {
    if (!engine.layers) {
      continue;  // Its memory cannot hold a cell.
    }
    const EngineModel model(profile, engine.accelerator);
    const int held = std::max(1, engine.layers->last - engine.layers->first);
    const double requests = RequestCapacity(profile, model, held);
    double min_remaining = std::numeric_limits<double>::infinity();
    for (int cell = 0; cell < coverage.Cells(); ++cell) {
      const LayerRange layers = coverage.Range(cell, 1);
      if (engine.layers->first <= layers.first && engine.layers->last >= layers.last) {
        min_remaining = std::min(min_remaining, coverage.InFleet(cell).requests - requests);
      }
    }
    if (min_remaining > reassigned_min_remaining &&
        CellsFor(shape, coverage, model, engine.accelerator) > 0) {
      reassigned = &engine;
      reassigned_min_remaining = min_remaining;
    }
  }
  if (reassigned != nullptr) {
    const EngineModel model(profile, reassigned->accelerator);
    const int cells = CellsFor(shape, coverage, model, reassigned->accelerator);
    const int start = std::min(uncovered, coverage.Cells() - cells);
    changes.push_back({reassigned->id, coverage.Range(start, cells)});
  }
  return changes;
}

}  // namespace azuregw
