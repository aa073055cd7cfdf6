// Enumerates and scores layout shapes.

#include "azuregw/placement/layout_shape.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <tuple>
#include <vector>

#include "azuregw/fleet/engine_model.h"
#include "placement/layout_coverage.h"

namespace azuregw {
namespace {

// Maximum number of parts of a path that engines accept.
constexpr int kMaxPathParts = 32;
// Minimum number of requests of typical size that fit beside the weights. The largest requests take
// about three times the typical memory.
constexpr double kMinRequestCapacity = 8;
// Weight of the logarithm of the hops of a path. Each hop adds latency and one more engine whose
// loss interrupts the stream.
constexpr double kHopWeight = 1.0;
// Maximum number of combinations of widths that are all scored. Configurations choose the number of
// kinds, and the combinations grow with its power.
constexpr size_t kMaxCombinations = 20000;
// Rounds of the search that varies one kind at a time.
constexpr int kMaxRounds = 4;
// Engines of one kind in one failure domain.
struct EngineGroup {
  std::string domain;
  std::string kind;
  double step_factor = 1;
  int engines = 0;
};

std::vector<EngineGroup> GroupEngines(const EngineProfile& profile,
                                      gsl::span<const LayoutEngine> engines) {
  std::map<std::pair<std::string, std::string>, int> counts;
  for (const LayoutEngine& engine : engines) {
    ++counts[{engine.accelerator, engine.failure_domain}];
  }
  std::vector<EngineGroup> groups;
  for (const auto& [key, count] : counts) {
    groups.push_back({key.second, key.first, EngineModel(profile, key.first).StepFactor(), count});
  }
  // The planner also places fast engines first.
  std::stable_sort(groups.begin(), groups.end(), [](const EngineGroup& a, const EngineGroup& b) {
    return a.step_factor < b.step_factor;
  });
  return groups;
}

double ScoreGroups(const EngineProfile& profile, const std::vector<EngineGroup>& groups,
                   const LayoutShape& shape) {
  LayoutCoverage coverage(profile, shape.cell_layers);
  double cells_held = 0;
  double holders = 0;
  for (const EngineGroup& group : groups) {
    const int domain = coverage.DomainIndex(group.domain);
    const int cells = std::min(coverage.Cells(), shape.CellsOf(group.kind));
    if (cells == 0) {
      continue;
    }
    const EngineModel model(profile, group.kind);
    const double requests = RequestCapacity(profile, model, cells * shape.cell_layers);
    for (int engine = 0; engine < group.engines; ++engine) {
      const LayerRange range = coverage.Range(coverage.BestStart(domain, cells), cells);
      coverage.Add(domain, range, requests);
    }
    holders += group.engines;
    cells_held += static_cast<double>(group.engines) * cells;
  }
  if (holders == 0) {
    return -std::numeric_limits<double>::infinity();
  }
  const double hops = coverage.Cells() * holders / cells_held;
  return coverage.Score() - kHopWeight * std::log(hops);
}

// Returns the range of cells per engine of `kind` that memory allows; {0, 0} if none.
std::pair<int, int> WidthRange(const EngineProfile& profile, const std::string& kind,
                               int cell_layers) {
  const EngineModel model(profile, kind);
  const int cells = (profile.layers + cell_layers - 1) / cell_layers;
  int most = 0;
  while (most < cells && (most + 1) * cell_layers <= model.MaxLayers() &&
         RequestCapacity(profile, model, (most + 1) * cell_layers) >= kMinRequestCapacity) {
    ++most;
  }
  if (most == 0 && cell_layers <= model.MaxLayers()) {
    most = 1;  // Too little memory for requests is better than an engine without layers.
  }
  return {std::min(1, most), most};
}

// Widths and grid of the ranges that engines hold.
struct HeldShape {
  int grid = 0;                       // Greatest common divisor of all boundaries; 0 if none.
  std::map<std::string, int> layers;  // Most frequent width of each kind, in layers.
};

HeldShape FindHeldShape(const EngineProfile& profile, gsl::span<const LayoutEngine> engines) {
  HeldShape held;
  std::map<std::string, std::map<int, int>> widths;
  for (const LayoutEngine& engine : engines) {
    if (!engine.layers || engine.layers->last <= engine.layers->first) {
      continue;
    }
    for (const int boundary : {engine.layers->first, engine.layers->last}) {
      if (boundary != profile.layers) {
        held.grid = std::gcd(held.grid, boundary);
      }
    }
    ++widths[engine.accelerator][engine.layers->last - engine.layers->first];
  }
  for (const auto& [kind, counts] : widths) {
    held.layers[kind] =
        std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
          return a.second < b.second;
        })->first;
  }
  return held;
}

// Returns the candidate numbers of layers per cell, largest first.
std::vector<int> CellSizes(const EngineProfile& profile, const std::vector<EngineGroup>& groups,
                           int held_grid) {
  int smallest = profile.layers;
  for (const EngineGroup& group : groups) {
    smallest = std::min(smallest, EngineModel(profile, group.kind).MaxLayers());
  }
  smallest = std::max(1, smallest);
  const int least = std::min(smallest, (profile.layers + kMaxPathParts - 1) / kMaxPathParts);
  std::vector<int> dividing;
  std::vector<int> all;
  for (int cell = smallest; cell >= least; --cell) {
    if (held_grid % cell != 0) {
      continue;
    }
    all.push_back(cell);
    if (profile.layers % cell == 0) {
      dividing.push_back(cell);
    }
  }
  // A divisor of the layer count makes all cells equal.
  return dividing.empty() ? all : dividing;
}

// Scores the combinations of widths of all kinds and keeps the best shape. If there are more than
// kMaxCombinations, varies the width of one kind at a time.
class ShapeSearch {
 public:
  ShapeSearch(const EngineProfile& profile, const std::vector<EngineGroup>& groups,
              const HeldShape& held)
      : m_profile(profile), m_groups(groups), m_held(held) {
    for (const EngineGroup& group : groups) {
      m_kinds.push_back(group.kind);
    }
    std::sort(m_kinds.begin(), m_kinds.end());
    m_kinds.erase(std::unique(m_kinds.begin(), m_kinds.end()), m_kinds.end());
  }

  void Try(int cell_layers) {
    m_shape = LayoutShape{cell_layers, {}};
    size_t combinations = 1;
    for (const std::string& kind : m_kinds) {
      const auto [least, most] = Widths(kind);
      m_shape.cells_by_kind[kind] = most;
      combinations = std::min(kMaxCombinations + 1,
                              combinations * static_cast<size_t>(std::max(1, most - least + 1)));
    }
    if (combinations <= kMaxCombinations) {
      m_shape = LayoutShape{cell_layers, {}};
      ChooseWidth(0);
    } else {
      VaryKinds();
    }
  }
  const LayoutShape& Best() const { return m_best; }

 private:
  // Returns the range of widths of a kind, in cells.
  std::pair<int, int> Widths(const std::string& kind) const {
    auto [least, most] = WidthRange(m_profile, kind, m_shape.cell_layers);
    const auto held = m_held.layers.find(kind);
    if (held != m_held.layers.end()) {
      least = most = std::clamp(held->second / m_shape.cell_layers, least, most);
    }
    return {least, most};
  }

  // Scores `m_shape`; returns whether it is the best one so far.
  bool Score() {
    const double score = ScoreGroups(m_profile, m_groups, m_shape);
    if (score <= m_best_score + 1e-9) {
      return false;
    }
    m_best = m_shape;
    m_best_score = score;
    return true;
  }

  // Improves the width of one kind after the other, from the largest widths on.
  void VaryKinds() {
    LayoutShape chosen = m_shape;
    double chosen_score = ScoreGroups(m_profile, m_groups, m_shape);
    Score();
    for (int round = 0; round < kMaxRounds; ++round) {
      const double before = chosen_score;
      for (const std::string& kind : m_kinds) {
        const auto [least, most] = Widths(kind);
        for (int cells = least; cells <= most; ++cells) {
          m_shape = chosen;
          m_shape.cells_by_kind[kind] = cells;
          const double score = ScoreGroups(m_profile, m_groups, m_shape);
          if (score > chosen_score + 1e-9) {
            chosen = m_shape;
            chosen_score = score;
            Score();
          }
        }
      }
      if (chosen_score <= before) {
        return;
      }
    }
  }

  // Enumerates the widths of the kinds from `index` on.
  void ChooseWidth(size_t index) {
    if (index == m_kinds.size()) {
      Score();
      return;
    }
    const std::string& kind = m_kinds[index];
    const auto [least, most] = Widths(kind);
    for (int cells = least; cells <= most; ++cells) {
      m_shape.cells_by_kind[kind] = cells;
      ChooseWidth(index + 1);
    }
  }

  const EngineProfile& m_profile;
  const std::vector<EngineGroup>& m_groups;
  const HeldShape& m_held;
  std::vector<std::string> m_kinds;
  LayoutShape m_shape;  // Shape under construction.
  LayoutShape m_best;
  double m_best_score = -std::numeric_limits<double>::infinity();
};

}  // namespace

int LayoutShape::CellsOf(const std::string& kind) const {
  const auto found = cells_by_kind.find(kind);
  if (found != cells_by_kind.end()) {
    return found->second;
  }
  int smallest = cells_by_kind.empty() ? 1 : std::numeric_limits<int>::max();
  for (const auto& [known, cells] : cells_by_kind) {
    smallest = std::min(smallest, cells);
  }
  return smallest;
}

LayoutShape ChooseLayoutShape(const EngineProfile& profile, gsl::span<const LayoutEngine> engines) {
  const std::vector<EngineGroup> groups = GroupEngines(profile, engines);
  HeldShape held = FindHeldShape(profile, engines);
  std::vector<int> sizes = CellSizes(profile, groups, held.grid);
  if (sizes.empty()) {
    // The held ranges have no common grid.
    held = HeldShape();
    sizes = CellSizes(profile, groups, 0);
  }
  const bool all_held = std::all_of(groups.begin(), groups.end(), [&](const EngineGroup& group) {
    return held.layers.count(group.kind) > 0;
  });
  if (all_held && !groups.empty()) {
    sizes.resize(1);  // Nothing is left to choose.
  }
  ShapeSearch search(profile, groups, held);
  for (const int cell_layers : sizes) {
    search.Try(cell_layers);
  }
  return search.Best();
}

double LayoutShapeScore(const EngineProfile& profile, gsl::span<const LayoutEngine> engines,
                        const LayoutShape& shape) {
  return ScoreGroups(profile, GroupEngines(profile, engines), shape);
}

}  // namespace azuregw
