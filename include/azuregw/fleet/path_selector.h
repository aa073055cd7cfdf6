// Chooses the engines that one answer passes through: every layer once and in order, with memory
// for the request at each engine.
//
// Decision module: no I/O. It answers the load pattern of many short streams on engines of unequal
// speed: fast engines carry the base load, and as their memory fills, cost rises until slower ones
// and other failure domains take the rest.

#ifndef AZUREGW_FLEET_PATH_SELECTOR_H_
#define AZUREGW_FLEET_PATH_SELECTOR_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

struct PathHop {
  std::string id;
  std::string address;
  LayerRange layers;
};

struct EnginePath {
  std::vector<PathHop> hops;
  std::string fullest_engine;  // The engine with the peak load.
  double cost_ms = 0;          // Of one token, with what load and slowness add.
  double step_ms = 0;          // Time of one token if every engine keeps its usual pace.
  double peak_load = 0;        // Of its fullest engine with this request; 1 is all of its memory.
};

struct PathQuery {
  std::string service;
  const EngineProfile* profile = nullptr;
  double tokens = 0;               // Prompt and expected answer.
  std::string failure_domain;      // Where the request enters; preferred for the first engine.
  std::set<std::string> excluded;  // Ids not to use.
  // The path begins with this hop, which keeps its memory.
  std::optional<PathHop> first_hop;
  double max_load = 1;        // Engines that would be fuller than this are left out.
  double max_slowdown = 1e9;  // Engines that are slower than this are left out.
  // Random share added to costs, so that those with the same view do not all choose the same path.
  double cost_jitter = 0.1;
  TimePoint now;
  // Factor on this instance's own load where the load of the others is not known; 0 when it is.
  int assumed_instances = 0;
};

enum class PathError { kLayersNotCovered, kNoMemory };

class PathSelector {
 public:
  explicit PathSelector(Random* random) : m_random(random) {}

  // Returns nullopt and sets `problem` when no path exists: kLayersNotCovered if the usable engines
  // do not hold all layers, kNoMemory if they do but are too full.
  std::optional<EnginePath> Choose(const Fleet& fleet, const PathQuery& query,
                                   PathError* problem) const;

 private:
  std::optional<EnginePath> Search(const Fleet& fleet, const PathQuery& query,
                                   bool ignore_load) const;

  Random* const m_random;
};

// The spread for a choice that others make at the same time with the same view of the load. It
// answers the load pattern of a large fleet whose instances all see the same engine as the best one
// until the next report: some 100 streams in a quarter of a second, half of an engine's memory.
double PathCostJitter(int instances, bool load_known);

// KV memory in use at an upstream as a share of `capacity_token_layers`.
double MemoryLoad(const Upstream& upstream, double added, double capacity_token_layers,
                  int assumed_instances);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_PATH_SELECTOR_H_
