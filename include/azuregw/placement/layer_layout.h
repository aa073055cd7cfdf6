// Decides which engine holds which layers.
//
// Decision module: no I/O, deterministic. It answers the loss of engines: each failure domain gets
// a path of its own first, further engines double the cells with the least memory, and an engine
// that comes back empty or is new fills the weakest cell. Ranges lie on a common grid of cells, so
// that engines of different kinds can replace one another.

#ifndef AZUREGW_PLACEMENT_LAYER_LAYOUT_H_
#define AZUREGW_PLACEMENT_LAYER_LAYOUT_H_

#include <optional>
#include <string>
#include <vector>

#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// An engine as the layout sees it.
struct LayoutEngine {
  std::string id;
  std::string failure_domain;
  std::string accelerator;
  std::optional<LayerRange> layers;  // Held or already ordered.
};

struct LayoutChange {
  std::string id;
  LayerRange layers;
};

// Layers per cell of the grid, so that the smallest engine holds one cell and keeps memory for
// requests.
int GridCellLayers(const EngineProfile& profile);

// Ranges for the engines that hold nothing, and at most one move of a redundant engine when some
// layers are held by no engine at all. Engines that are leaving must not be listed.
std::vector<LayoutChange> PlanLayout(const EngineProfile& profile,
                                     const std::vector<LayoutEngine>& engines);

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LAYER_LAYOUT_H_
