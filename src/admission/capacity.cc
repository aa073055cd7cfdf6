// Capacity of a model as a maximum-flow problem over layer boundaries.

#include "admission/capacity.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <utility>

namespace azuregw {
namespace {

// Residual capacity, indexed by source and destination layer boundary.
using ResidualGraph = std::map<int, std::map<int, double>>;

// Pushes flow along one augmenting path found by depth-first search. Returns the amount; 0 if there
// is no path.
double Augment(int from, int to, double limit, ResidualGraph* residual,
               std::map<int, bool>* visited) {
  if (from == to) {
    return limit;
  }
  (*visited)[from] = true;
  // Visits later boundaries first: longer ranges and forward edges reach the end sooner.
  std::map<int, double>& edges = (*residual)[from];
  for (auto edge = edges.rbegin(); edge != edges.rend(); ++edge) {
    if (edge->second <= 0 || (*visited)[edge->first]) {
      continue;
    }
    const double pushed =
        Augment(edge->first, to, std::min(limit, edge->second), residual, visited);
    if (pushed > 0) {
      edge->second -= pushed;
      (*residual)[edge->first][from] += pushed;
      return pushed;
    }
  }
  return 0;
}

// Returns the maximum flow from boundary 0 to boundary `layers`.
double MaximumFlow(ResidualGraph residual, int layers) {
  double total = 0;
  while (true) {
    std::map<int, bool> visited;
    const double pushed =
        Augment(0, layers, std::numeric_limits<double>::infinity(), &residual, &visited);
    if (pushed <= 0) {
      return total;
    }
    total += pushed;
  }
}

// Engines of one model that are not leaving.
struct ModelEngines {
  ResidualGraph tokens_per_ms;  // Indexed by the boundaries of the ranges.
  ResidualGraph capacity;       // Concurrent steps, indexed by boundaries.
};

// Returns the time of one token through the fastest chain of ranges, in ms, at the mean step time
// of each range; 0 if no chain covers all layers.
double ShortestChainMs(const ModelEngines& engines, int layers) {
  std::map<int, double> reached = {{0, 0.0}};
  for (const auto& [first, edges] : engines.capacity) {
    const auto start = reached.find(first);
    if (start == reached.end()) {
      continue;
    }
    for (const auto& [last, capacity] : edges) {
      const double mean_step_ms = capacity / engines.tokens_per_ms.at(first).at(last);
      const double time = start->second + mean_step_ms;
      const auto known = reached.find(last);
      if (known == reached.end() || time < known->second) {
        reached[last] = time;
      }
    }
  }
  const auto end = reached.find(layers);
  return end == reached.end() ? 0 : end->second;
}

// Returns the number of concurrent sequences that keep all ranges busy: token rate times time in
// the chain (Little's law). It exceeds the capacity of one range, because a sequence occupies one
// engine of its chain at a time. kWaitFactor covers the wait of a step for the next iteration, half
// an iteration on average, and for links.
double ConcurrentSequences(const ModelEngines& engines, int layers) {
  constexpr double kWaitFactor = 2.0;
  return MaximumFlow(engines.tokens_per_ms, layers) * ShortestChainMs(engines, layers) *
         kWaitFactor;
}

}  // namespace

std::unordered_map<std::string, double> TargetCapacities(const Snapshot& snapshot) {
  std::unordered_map<std::string, double> capacities;
  const Preset& preset = *snapshot.preset;
  std::unordered_map<std::string_view, ModelEngines> by_model;
  for (const auto& [name, engine] : preset.engines) {
    if (snapshot.leaving_upstreams.count(name) == 0) {
      ModelEngines& engines = by_model[engine.model];
      const LayerRange range = engine.range;
      engines.tokens_per_ms[range.first][range.last] += engine.capacity / engine.step_ms;
      engines.capacity[range.first][range.last] += engine.capacity;
    }
  }
  for (const auto& [name, model] : preset.models) {
    capacities["model/" + name] = ConcurrentSequences(by_model[name], model.layers);
  }
  for (const auto& [name, upstream] : preset.service_upstreams) {
    if (snapshot.leaving_upstreams.count(name) == 0) {
      capacities["service/" + upstream.service] += upstream.capacity;
    }
  }
  return capacities;
}

}  // namespace azuregw
