// Shortest path over layer boundaries.

#include "azuregw/fleet/path_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

#include "azuregw/fleet/engine_model.h"

namespace azuregw {
namespace {

// Growth of an engine's cost with the square of its load: a full engine costs five times an empty
// one, so that paths of half the speed are taken before memory runs out.
constexpr double kLoadCostFactor = 4.0;
// Extra cost of a hop to another failure domain, in ms per token, beside its delay. A prompt
// crosses a pipe that all engines share, which saturates at about one crossing per request.
constexpr double kCrossDomainMs = 6.0;
// Searches for a path that no engine's room excludes.
constexpr int kMaxRounds = 3;
// Delay of a hop inside a failure domain, in ms.
constexpr double kLocalHopMs = 0.2;

// Spread of choices in a fleet of kSpreadInstances; it grows with the root of the instances, as the
// number of choices between two reports grows faster than the reports.
constexpr double kSpread = 0.1;
constexpr double kSpreadInstances = 9;
constexpr double kMostSpread = 0.5;
// Without any knowledge of the load, streams are spread over engines of up to twice the cost.
constexpr double kBlindSpread = 1.0;

// An engine that refused is taken for full, and then for less full until this time has passed: it
// may work for streams that no instance knows of, because theirs was killed.
constexpr Milliseconds kRefusalMemory{3000};

double RefusedLoad(const Upstream& upstream, TimePoint now) {
  const std::chrono::duration<double> age = now - upstream.refused_at;
  return 1 - age / std::chrono::duration<double>(kRefusalMemory);
}

struct Candidate {
  const Upstream* upstream;
  EngineModel model;
  double capacity;  // Tokens x layers.
  double used;      // Share of the capacity, without this request.
  double noise;
  int domain;
  double slowdown;
};

struct Step {
  double cost = std::numeric_limits<double>::infinity();
  int candidate = -1;
  int from_boundary = -1;
  int from_domain = -1;
};

}  // namespace

double MemoryLoad(const Upstream& upstream, double added, double capacity_token_layers,
                  int assumed_instances) {
  if (capacity_token_layers <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  const double known = assumed_instances > 0
                           ? upstream.own_load.token_layers * assumed_instances
                           : upstream.own_load.token_layers + upstream.others_load.token_layers;
  return (known + added) / capacity_token_layers;
}

double PathCostJitter(int instances, bool load_known) {
  if (!load_known) {
    return kBlindSpread;
  }
  return std::min(kMostSpread, kSpread * std::sqrt(instances / kSpreadInstances));
}

std::optional<EnginePath> PathSelector::Choose(const Fleet& fleet, const PathQuery& query,
                                               PathError* problem) const {
  PathQuery narrowed = query;
  std::optional<EnginePath> path = Search(fleet, narrowed, false);
  // An engine that serves what lies between two of its parts may get more than it has room for.
  for (int round = 0; round < kMaxRounds && path && path->peak_load > query.max_load; ++round) {
    narrowed.excluded.insert(path->fullest_engine);
    path = Search(fleet, narrowed, false);
  }
  if (path && path->peak_load > query.max_load) {
    path.reset();
  }
  if (!path) {
    *problem = Search(fleet, query, true) ? PathError::kNoMemory : PathError::kLayersNotCovered;
  }
  return path;
}

std::optional<EnginePath> PathSelector::Search(const Fleet& fleet, const PathQuery& query,
                                               bool ignore_load) const {
  const EngineProfile& profile = *query.profile;
  std::vector<Candidate> candidates;
  std::vector<int> boundaries = {0, profile.layers};
  std::map<std::string, int> domains;
  const double usual_tokens = profile.usual_prompt_tokens + profile.usual_answer_tokens;
  for (const auto& [id, upstream] : fleet.All()) {
    const UpstreamRecord& record = upstream.record;
    const double slowdown = query.now < upstream.slowdown_until ? upstream.slowdown : 1;
    if (record.service != query.service || !record.layers || slowdown > query.max_slowdown ||
        !upstream.Usable(query.now) || query.excluded.count(id) > 0 ||
        (query.first_hop && query.first_hop->id == id)) {
      continue;
    }
    const int held = record.layers->last - record.layers->first;
    if (held <= 0) {
      continue;
    }
    EngineModel model(profile, record.accelerator);
    const double capacity = model.KvTokenLayers(held);
    const double used = std::max(MemoryLoad(upstream, 0, capacity, query.assumed_instances),
                                 RefusedLoad(upstream, query.now));
    const int domain =
        domains.emplace(record.failure_domain, static_cast<int>(domains.size())).first->second;
    candidates.push_back({&upstream, model, capacity, used,
                          1 + query.cost_jitter * m_random->Unit(), domain,
                          query.now < upstream.slowdown_until ? upstream.slowdown : 1});
    boundaries.push_back(record.layers->first);
    boundaries.push_back(record.layers->last);
  }
  if (query.first_hop) {
    boundaries.push_back(query.first_hop->layers.last);
    const Upstream* const first = fleet.Find(query.first_hop->id);
    domains.emplace(first == nullptr ? "" : first->record.failure_domain,
                    static_cast<int>(domains.size()));
  }
  std::sort(boundaries.begin(), boundaries.end());
  boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
  const int count = static_cast<int>(boundaries.size());
  const int domain_count = std::max<int>(1, static_cast<int>(domains.size()));
  const auto entry = domains.find(query.failure_domain);
  const int entry_domain = entry == domains.end() ? -1 : entry->second;

  // Cheapest way to reach a boundary, by the failure domain of the last engine.
  std::vector<std::vector<Step>> best(static_cast<size_t>(count),
                                      std::vector<Step>(static_cast<size_t>(domain_count)));
  int start = 0;
  if (query.first_hop) {
    start = static_cast<int>(
        std::lower_bound(boundaries.begin(), boundaries.end(), query.first_hop->layers.last) -
        boundaries.begin());
    const Upstream* const first = fleet.Find(query.first_hop->id);
    const int first_domain = domains.at(first == nullptr ? "" : first->record.failure_domain);
    best[static_cast<size_t>(start)][static_cast<size_t>(first_domain)].cost = 0;
  }
  const auto cross_ms = kCrossDomainMs + profile.zone_delay_ms;
  for (int at = start; at + 1 < count; ++at) {
    const int layer = boundaries[static_cast<size_t>(at)];
    const bool entering = at == 0 && !query.first_hop;
    if (!entering &&
        std::all_of(best[static_cast<size_t>(at)].begin(), best[static_cast<size_t>(at)].end(),
                    [](const Step& step) { return std::isinf(step.cost); })) {
      continue;
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
      const Candidate& candidate = candidates[i];
      const LayerRange& held = *candidate.upstream->record.layers;
      if (held.first > layer || held.last <= layer) {
        continue;
      }
      for (int to = at + 1; to < count && boundaries[static_cast<size_t>(to)] <= held.last; ++to) {
        const int layers = boundaries[static_cast<size_t>(to)] - layer;
        const double load = candidate.used + query.tokens * layers / candidate.capacity;
        if (load > query.max_load && !ignore_load) {
          break;
        }
        const double context = candidate.used * candidate.capacity / (held.last - held.first);
        const double running = usual_tokens > 0 ? context / usual_tokens : 0;
        const double time = candidate.model.StepMs(layers, running, context) * candidate.noise *
                            candidate.slowdown * (1 + kLoadCostFactor * load * load);
        for (int previous = 0; previous < (entering ? 1 : domain_count); ++previous) {
          double cost = time;
          if (entering) {
            cost += entry_domain == candidate.domain ? kLocalHopMs : profile.zone_delay_ms;
          } else {
            cost += best[static_cast<size_t>(at)][static_cast<size_t>(previous)].cost +
                    (previous == candidate.domain ? kLocalHopMs : cross_ms);
          }
          Step& step = best[static_cast<size_t>(to)][static_cast<size_t>(candidate.domain)];
          if (cost < step.cost) {
            step = Step{cost, static_cast<int>(i), at, previous};
          }
        }
      }
    }
  }
  const auto& ends = best[static_cast<size_t>(count - 1)];
  int domain = static_cast<int>(
      std::min_element(ends.begin(), ends.end(),
                       [](const Step& a, const Step& b) { return a.cost < b.cost; }) -
      ends.begin());
  if (std::isinf(ends[static_cast<size_t>(domain)].cost)) {
    return std::nullopt;
  }
  EnginePath path;
  path.cost_ms = ends[static_cast<size_t>(domain)].cost;
  for (int at = count - 1; at > start;) {
    const Step& step = best[static_cast<size_t>(at)][static_cast<size_t>(domain)];
    const Candidate& candidate = candidates[static_cast<size_t>(step.candidate)];
    const UpstreamRecord& record = candidate.upstream->record;
    LayerRange range{boundaries[static_cast<size_t>(step.from_boundary)],
                     boundaries[static_cast<size_t>(at)]};
    // An engine may appear once: when the cheapest path returns to one, it serves all in between.
    // Hops are collected from the last one backwards.
    const auto again = std::find_if(path.hops.begin(), path.hops.end(),
                                    [&](const PathHop& hop) { return hop.id == record.id; });
    if (again != path.hops.end()) {
      range.last = again->layers.last;
      path.hops.erase(path.hops.begin() + (again - path.hops.begin()), path.hops.end());
    }
    path.hops.push_back({record.id, record.address, range});
    const double load =
        candidate.used + query.tokens * (range.last - range.first) / candidate.capacity;
    if (load > path.peak_load) {
      path.peak_load = load;
      path.fullest_engine = record.id;
    }
    const double context =
        candidate.used * candidate.capacity /
        (candidate.upstream->record.layers->last - candidate.upstream->record.layers->first);
    path.step_ms += kLocalHopMs +
                    candidate.model.StepMs(range.last - range.first,
                                           usual_tokens > 0 ? context / usual_tokens : 0, context);
    at = step.from_boundary;
    domain = step.from_domain;
  }
  if (query.first_hop) {
    path.hops.push_back(*query.first_hop);
  }
  std::reverse(path.hops.begin(), path.hops.end());
  return path;
}

}  // namespace azuregw
