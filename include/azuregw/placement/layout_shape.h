// Selects the widths of the layer ranges of a layout.
//
// Decision module: no I/O, deterministic. Wide ranges cover each failure domain several times and
// need few hops, narrow ones leave more memory for requests. Which of them binds depends on the
// accelerators, the size of the model and the memory per token, so every shape that the memory
// allows is laid out and scored.
//
// Load pattern: all engines of a deployment under steady load, then one of them fails. A shape that
// leaves a failure domain without some layers sends each request across the links between domains,
// which carry only a fraction of the load.

#ifndef AZUREGW_PLACEMENT_LAYOUT_SHAPE_H_
#define AZUREGW_PLACEMENT_LAYOUT_SHAPE_H_

#include <gsl/span>
#include <map>
#include <string>

#include "azuregw/placement/layer_layout.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Widths of the ranges of a layout.
struct LayoutShape {
  int cell_layers = 1;  // Layers per grid cell; ranges begin and end at multiples of it.
  // Cells per range of each accelerator kind; 0 if an engine of the kind holds no whole cell.
  std::map<std::string, int> cells_by_kind;

  // Returns the cells per range of an engine of `kind`. Unknown kinds get the smallest range.
  int CellsOf(const std::string& kind) const;
};

// Returns the shape with the best score. Widths that engines already hold are kept, so that the
// grid is stable while engines come and go and when another instance takes over the planning.
LayoutShape ChooseLayoutShape(const EngineProfile& profile, gsl::span<const LayoutEngine> engines);

// Returns the score of `shape`: the mean logarithm of the requests that a failure domain holds at
// its weakest cell, with all engines and after the loss of one, less a cost for long paths. Only
// differences are meaningful; the offered load is not known when the layout is planned, and the
// logarithm ranks shapes alike at any load.
double LayoutShapeScore(const EngineProfile& profile, gsl::span<const LayoutEngine> engines,
                        const LayoutShape& shape);

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LAYOUT_SHAPE_H_
