// Selects the path of engines for a request: each layer exactly once and in order, with enough KV
// memory at each engine.
//
// Decision module: no I/O. Targets many short streams on heterogeneous engines: fast engines serve
// the base load, and the cost of an engine rises as its memory fills, until slower engines and
// other failure domains take the remainder.

#ifndef AZUREGW_FLEET_PATH_SELECTOR_H_
#define AZUREGW_FLEET_PATH_SELECTOR_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Engine on a path and the layers that it runs.
struct PathHop {
  std::string id;
  std::string address;
  LayerRange layers;
};

// Path through engines that covers all layers.
struct EnginePath {
  std::vector<PathHop> hops;
  std::string fullest_engine;  // ID of the engine with the peak load.
  double cost_ms = 0;          // Cost of one token, including penalties for load and slowdown.
  double step_ms = 0;          // Time of one token with every engine at its normal pace.
  double peak_load = 0;  // KV memory load of the fullest engine, including this request; 1 is full.
  std::vector<LinkId> links;  // Links between failure domains that the path crosses.
  double peak_link_load = 0;  // Utilization of the fullest link, including this request.
};

// Parameters of a path selection.
struct PathQuery {
  std::string service;
  const EngineProfile* profile = nullptr;
  double tokens = 0;               // Prompt tokens plus expected output tokens.
  double prompt_tokens = 0;        // Tokens that all engines read before the first output token.
  std::string failure_domain;      // Entry domain of the request; preferred for the first engine.
  std::set<std::string> excluded;  // IDs of engines that must not be used.
  // Fixed first hop, whose memory reservation is kept; nullopt leaves the first engine open.
  std::optional<PathHop> first_hop;
  double max_load = 1;        // Maximum KV memory load of an engine, including this request.
  double max_slowdown = 1e9;  // Maximum slowdown factor of an engine.
  // Engines that are suspected of failing may be used if they respond.
  bool allow_suspects = false;
  double max_link_load = 1;  // Maximum utilization of a link, including this request.
  // Maximum random fraction added to costs, so that instances with the same view of the load do not
  // all select the same path.
  double cost_jitter = 0.1;
  // Streams that all instances are expected to have started since the load reports were made, and
  // which the known load therefore lacks.
  double unseen_streams = 0;
  TimePoint now;
  // Multiplier on this instance's own load while the load of the other instances is unknown; 0 when
  // it is known.
  int assumed_instances = 0;
};

// Reason why no path exists.
enum class PathError {
  kLayersNotCovered,  // The usable engines do not hold all layers.
  kNoCapacity         // The usable engines hold all layers but lack memory or link capacity, or
                      // their rate limits allow no request now.
};

// Finds the cheapest path with a shortest-path search over layer boundaries.
class PathSelector {
 public:
  // `random` must outlive the selector.
  explicit PathSelector(Random* random) : m_random(random) {}

  // Returns the cheapest path. Returns nullopt and sets `problem` if there is none.
  std::optional<EnginePath> Choose(const Fleet& fleet, const PathQuery& query,
                                   PathError* problem) const;

 private:
  // Streams assumed at an engine in addition to the known ones, by ID.
  using AssumedStreams = std::unordered_map<std::string, double>;

  // Returns the cheapest path within the load limit, or regardless of load if `ignore_load`.
  std::optional<EnginePath> Search(const Fleet& fleet, const PathQuery& query,
                                   const AssumedStreams& assumed, bool ignore_load) const;
  // Distributes a random part of `query.unseen_streams` as the other instances would: each batch
  // takes the path that is cheapest after the batches before it. Instances with the same view of
  // the load then select different paths, in proportion to what these can take.
  AssumedStreams AssumeUnseenStreams(const Fleet& fleet, const PathQuery& query) const;

  Random* const m_random;
};

// Returns the cost jitter for `instances` instances that select paths concurrently with the same
// view of the load. Without it, all instances of a large fleet select the same best engine until
// the next load report: some 100 streams in a quarter of a second, half of an engine's memory.
double PathCostJitter(int instances, bool load_known);

// Returns the KV memory in use at an upstream plus `added` (tokens x layers), as a fraction of
// `capacity_token_layers`. A nonzero `assumed_instances` scales the own load instead of using the
// reported load of the other instances.
double MemoryLoad(const Upstream& upstream, double added, double capacity_token_layers,
                  int assumed_instances);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_PATH_SELECTOR_H_
