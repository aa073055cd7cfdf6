// Maximum flow over layer boundaries.

#include "admission/capacity.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <utility>

namespace azuregw {
namespace {

// Residual capacity by (from boundary, to boundary).
using Residual = std::map<int, std::map<int, double>>;

// Pushes flow along one path found by depth-first search; returns the amount.
double Augment(int from, int to, double limit, Residual* residual, std::map<int, bool>* visited) {
  if (from == to) {
    return limit;
  }
  (*visited)[from] = true;
  // Later boundaries first: longer ranges and forward edges lead to the end sooner.
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

double MaximumFlow(Residual residual, int layers) {
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

}  // namespace

std::unordered_map<std::string, double> TargetCapacities(const Snapshot& snapshot) {
  std::unordered_map<std::string, double> capacities;
  const Preset& preset = *snapshot.preset;
  std::unordered_map<std::string_view, Residual> by_model;
  for (const auto& [name, engine] : preset.engines) {
    if (snapshot.leaving_upstreams.count(name) == 0) {
      by_model[engine.model][engine.range.first][engine.range.last] += engine.capacity;
    }
  }
  for (const auto& [name, model] : preset.models) {
    capacities["model/" + name] = MaximumFlow(std::move(by_model[name]), model.layers);
  }
  for (const auto& [name, upstream] : preset.service_upstreams) {
    if (snapshot.leaving_upstreams.count(name) == 0) {
      capacities["service/" + upstream.service] += upstream.capacity;
    }
  }
  return capacities;
}

}  // namespace azuregw
