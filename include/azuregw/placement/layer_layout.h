// Plans which engine holds which layers.
//
// Decision module: no I/O, deterministic. Designed for engine loss: each failure domain first gets
// a complete path, further engines replicate the cells with the least capacity, and an engine that
// is new or restarted empty fills the cell with the least coverage. Ranges are aligned to a common
// grid of cells, so that engines of different kinds can replace one another.

#ifndef AZUREGW_PLACEMENT_LAYER_LAYOUT_H_
#define AZUREGW_PLACEMENT_LAYER_LAYOUT_H_

#include <optional>
#include <string>
#include <vector>

#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Engine as input of the layout planner.
struct LayoutEngine {
  std::string id;
  std::string failure_domain;
  std::string accelerator;
  std::optional<LayerRange> layers;  // Layers held or already ordered.
  bool changing = false;             // `layers` is ordered but not listed yet.
};

// Layers that an engine should load.
struct LayoutChange {
  std::string id;
  LayerRange layers;
};

// Returns ranges for the engines that hold no layers. If there are none and few engines are
// changing, returns at most one reassignment, of the engine that is missed least to the cells that
// need it most. `engines` must not include
// draining engines.
std::vector<LayoutChange> PlanLayout(const EngineProfile& profile,
                                     const std::vector<LayoutEngine>& engines);

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LAYER_LAYOUT_H_
