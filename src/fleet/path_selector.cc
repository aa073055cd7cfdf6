// Finds the shortest path over layer boundaries, with one search state per boundary and failure
// domain.

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
// one, so that paths of half the speed are selected before memory runs out.
constexpr double kLoadCostFactor = 4.0;
// Utilization by prompts above which the modeled delay does not grow further.
constexpr double kMaxModeledPromptUtilization = 0.95;
// Weight of a delay of the first event relative to the same delay spread over the response.
constexpr double kFirstEventWeight = 4.0;
// Share of an engine's slots that streams may begin at without cost. The rest covers streams that
// other instances have begun since their reports.
constexpr double kFreeSlotUse = 0.85;
// Time of a token of a loaded path, in ms. All slots of an engine become free once in the time of a
// response.
constexpr double kSlotTokenMs = 20;
// Maximum number of failure domains that one search considers; the largest deployments have five.
constexpr size_t kMaxDomains = 16;
// Maximum number of searches that distribute the unseen streams.
constexpr int kMaxAssumedBatches = 6;
// Maximum number of repeated searches that exclude an overloaded engine.
constexpr int kMaxSearches = 3;
// Delay of a hop inside a failure domain, in ms.
constexpr double kLocalHopMs = 0.2;

// Cost jitter of a fleet of kBaseInstances. It grows with the square root of the instance count,
// because the number of selections between two load reports grows faster than the reports.
constexpr double kBaseCostJitter = 0.1;
constexpr double kBaseInstances = 9;
constexpr double kMaxCostJitter = 0.5;
// Cost jitter while the load is unknown: streams are distributed over engines of up to twice the
// cost.
constexpr double kUnknownLoadCostJitter = 1.0;

// Time over which an engine's assumed load decays from full to empty after a refusal. The engine
// may still run streams that no instance accounts for, because their instance was killed.
constexpr Milliseconds kRefusalDecay{3000};

// Returns the load assumed after the last refusal; zero or less once kRefusalDecay has passed.
double RefusedLoad(const Upstream& upstream, TimePoint now) {
  const std::chrono::duration<double> age = now - upstream.refused_at;
  return 1 - age / std::chrono::duration<double>(kRefusalDecay);
}

// Engine considered for the path.
struct Candidate {
  const Upstream* upstream;
  EngineModel model;
  double capacity;  // KV capacity in tokens x layers.
  double used;      // Fraction of the capacity in use, without this request.
  double jitter;    // Random cost multiplier.
  int domain;       // Index of the failure domain.
  double slowdown;
  double congestion;  // Factor on the token time while the engine also reads prompts.
  double backlog_ms;  // Cost of the prompts that wait at the engine.
  bool may_begin;     // The engine's rate limit allows another path to begin there.
};

// Returns whether the path may contain an engine. With `ignore_load`, engines that are short of
// memory count as well, because they will have some again.
bool MayUse(const Upstream& upstream, const PathQuery& query, bool ignore_load) {
  return upstream.Responds(query.now) && (query.allow_suspects || !upstream.Doubtful(query.now)) &&
         (ignore_load || query.now >= upstream.full_until);
}

// Returns the number of running requests at an upstream.
double Requests(const Upstream& upstream, const PathQuery& query) {
  return query.assumed_instances > 0
             ? static_cast<double>(upstream.own_load.requests) * query.assumed_instances
             : static_cast<double>(upstream.own_load.requests + upstream.others_load.requests);
}

// Returns the cost per output token of beginning at an engine that serves `slots` streams as their
// first engine at a time. Further ones wait there until others end.
double SlotWaitCostMs(const Upstream& upstream, const PathQuery& query) {
  const double begun = query.assumed_instances > 0
                           ? static_cast<double>(upstream.own_begun) * query.assumed_instances
                           : static_cast<double>(upstream.own_begun + upstream.others_begun);
  const double use = (begun + 1) / std::max(1, upstream.record.slots);
  return kFirstEventWeight * std::max(0.0, use - kFreeSlotUse) * kSlotTokenMs;
}

// Returns the cost per output token of waiting for the prompts of `streams` streams that started at
// the same time.
double PromptBacklogMs(const EngineProfile& profile, const EngineModel& model, int layers,
                       double streams) {
  return kFirstEventWeight * streams * model.PrefillMs(layers, profile.usual_prompt_tokens) /
         std::max(1.0, profile.usual_answer_tokens);
}

// Returns the factor on the token time of an engine that spends `utilization` of its time on
// prompts: tokens wait for prompts, and prompts for one another.
double PromptCongestion(double utilization) {
  return 1 / (1 - std::min(kMaxModeledPromptUtilization, utilization));
}

// Removes the candidates of all failure domains but the kMaxDomains with the most candidates and
// `entry`, and renumbers the domains. The entries of upstreams state their domains, and the search
// takes time for each pair of them.
void LimitDomains(const std::string& entry, std::map<std::string, int>* domains,
                  std::vector<Candidate>* candidates) {
  if (domains->size() <= kMaxDomains) {
    return;
  }
  std::vector<size_t> counts(domains->size());
  for (const Candidate& candidate : *candidates) {
    ++counts[static_cast<size_t>(candidate.domain)];
  }
  std::vector<std::pair<std::string, int>> order(domains->begin(), domains->end());
  std::stable_sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    const auto rank = [&](const auto& domain) {
      return std::make_pair(domain.first == entry, counts[static_cast<size_t>(domain.second)]);
    };
    return rank(a) > rank(b);
  });
  domains->clear();
  std::vector<int> renumbered(counts.size(), -1);
  for (size_t i = 0; i < kMaxDomains; ++i) {
    renumbered[static_cast<size_t>(order[i].second)] = static_cast<int>(i);
    domains->emplace(order[i].first, static_cast<int>(i));
  }
  std::vector<Candidate> kept;
  for (const Candidate& candidate : *candidates) {
    const int domain = renumbered[static_cast<size_t>(candidate.domain)];
    if (domain >= 0) {
      kept.push_back(candidate);
      kept.back().domain = domain;
    }
  }
  candidates->swap(kept);
}

// Cheapest last hop to a boundary in a failure domain. The indices are -1 at the start.
struct Step {
  double cost = std::numeric_limits<double>::infinity();
  int candidate = -1;
  int from_boundary = -1;
  int from_domain = -1;
};

// Cost of a hop between two failure domains.
struct LinkCost {
  double cost_ms = 0;
  double load = 0;  // Utilization of the link, including the request.
};

LinkUse UseOf(const Fleet& fleet, const PathQuery& query, LinkId link) {
  return LinkUseWith(fleet.Links().Rate(link, query.now, query.assumed_instances),
                     query.prompt_tokens, query.profile->activation_bytes_per_token,
                     query.profile->pipe_mbps);
}

// Returns the costs of hops between all pairs of `domains`, indexed by source and target.
std::vector<LinkCost> LinkCosts(const Fleet& fleet, const PathQuery& query,
                                const std::map<std::string, int>& domains) {
  const size_t count = std::max<size_t>(1, domains.size());
  std::vector<LinkCost> costs(count * count);
  for (const auto& [source, source_index] : domains) {
    for (const auto& [target, target_index] : domains) {
      LinkCost& cost =
          costs[static_cast<size_t>(source_index) * count + static_cast<size_t>(target_index)];
      if (source_index == target_index) {
        cost.cost_ms = kLocalHopMs;
        continue;
      }
      const LinkUse use = UseOf(fleet, query, LinkBetween(source, target));
      cost = {query.profile->zone_delay_ms + use.cost_ms, use.utilization};
    }
  }
  return costs;
}

// Adds the links that the hops of `path` cross.
void AddLinks(const Fleet& fleet, const PathQuery& query, EnginePath* path) {
  const Upstream* previous = nullptr;
  for (const PathHop& hop : path->hops) {
    const Upstream* const upstream = fleet.Find(hop.id);
    if (previous != nullptr && upstream != nullptr &&
        previous->record.failure_domain != upstream->record.failure_domain) {
      const LinkId link =
          LinkBetween(previous->record.failure_domain, upstream->record.failure_domain);
      path->links.push_back(link);
      path->peak_link_load = std::max(path->peak_link_load, UseOf(fleet, query, link).utilization);
    }
    previous = upstream;
  }
}

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
    return kUnknownLoadCostJitter;
  }
  return std::min(kMaxCostJitter, kBaseCostJitter * std::sqrt(instances / kBaseInstances));
}

std::optional<EnginePath> PathSelector::Choose(const Fleet& fleet, const PathQuery& query,
                                               PathError* problem) const {
  PathQuery narrowed = query;
  AssumedStreams assumed = AssumeUnseenStreams(fleet, query);
  std::optional<EnginePath> path = Search(fleet, narrowed, assumed, false);
  if (!path && !assumed.empty()) {
    assumed.clear();
    path = Search(fleet, narrowed, assumed, false);
  }
  // Merging two hops of an engine adds the layers between them, which may exceed its memory.
  for (int search = 0; search < kMaxSearches && path && path->peak_load > query.max_load;
       ++search) {
    narrowed.excluded.insert(path->fullest_engine);
    path = Search(fleet, narrowed, assumed, false);
  }
  if (path && path->peak_load > query.max_load) {
    path.reset();
  }
  if (!path) {
    *problem =
        Search(fleet, query, assumed, true) ? PathError::kNoCapacity : PathError::kLayersNotCovered;
  }
  return path;
}

PathSelector::AssumedStreams PathSelector::AssumeUnseenStreams(const Fleet& fleet,
                                                               const PathQuery& query) const {
  AssumedStreams assumed;
  const double rank = query.unseen_streams * m_random->Unit();
  const int batches = std::min(kMaxAssumedBatches, static_cast<int>(std::ceil(rank)));
  if (rank < 1) {
    return assumed;
  }
  for (int batch = 0; batch < batches; ++batch) {
    const std::optional<EnginePath> path = Search(fleet, query, assumed, false);
    if (!path) {
      break;
    }
    for (const PathHop& hop : path->hops) {
      assumed[hop.id] += rank / batches;
    }
  }
  return assumed;
}

std::optional<EnginePath> PathSelector::Search(const Fleet& fleet, const PathQuery& query,
                                               const AssumedStreams& assumed,
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
        !MayUse(upstream, query, ignore_load) || query.excluded.count(id) > 0 ||
        (query.first_hop && query.first_hop->id == id)) {
      continue;
    }
    const int held = record.layers->last - record.layers->first;
    if (held <= 0) {
      continue;
    }
    EngineModel model(profile, record.accelerator);
    const double capacity = model.KvTokenLayers(held);
    const auto extra = assumed.find(id);
    const double extra_streams = extra == assumed.end() ? 0 : extra->second;
    const double used = std::max(MemoryLoad(upstream, extra_streams * query.tokens * held, capacity,
                                            query.assumed_instances),
                                 RefusedLoad(upstream, query.now));
    const int domain =
        domains.emplace(record.failure_domain, static_cast<int>(domains.size())).first->second;
    candidates.push_back({&upstream, model, capacity, used,
                          1 + query.cost_jitter * m_random->Unit(), domain,
                          query.now < upstream.slowdown_until ? upstream.slowdown : 1,
                          PromptCongestion(model.PrefillUtilization(
                              held, Requests(upstream, query) + extra_streams)),
                          PromptBacklogMs(profile, model, held, extra_streams),
                          ignore_load || fleet.MayStart(upstream, query.now)});
    boundaries.push_back(record.layers->first);
    boundaries.push_back(record.layers->last);
  }
  LimitDomains(query.failure_domain, &domains, &candidates);
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

  // Cheapest step to each boundary, by failure domain of the last engine.
  std::vector<std::vector<Step>> best(static_cast<size_t>(count),
                                      std::vector<Step>(static_cast<size_t>(domain_count)));
  int start_boundary = 0;
  if (query.first_hop) {
    start_boundary = static_cast<int>(
        std::lower_bound(boundaries.begin(), boundaries.end(), query.first_hop->layers.last) -
        boundaries.begin());
    const Upstream* const first = fleet.Find(query.first_hop->id);
    const int first_domain = domains.at(first == nullptr ? "" : first->record.failure_domain);
    best[static_cast<size_t>(start_boundary)][static_cast<size_t>(first_domain)].cost = 0;
  }
  const std::vector<LinkCost> links = LinkCosts(fleet, query, domains);
  for (int at = start_boundary; at + 1 < count; ++at) {
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
      if (held.first > layer || held.last <= layer || (entering && !candidate.may_begin)) {
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
        const double time =
            candidate.backlog_ms + candidate.model.StepMs(layers, running, context) *
                                       candidate.jitter * candidate.slowdown *
                                       candidate.congestion * (1 + kLoadCostFactor * load * load);
        for (int previous = 0; previous < (entering ? 1 : domain_count); ++previous) {
          double cost = time;
          if (entering) {
            cost += (entry_domain == candidate.domain ? kLocalHopMs : profile.zone_delay_ms) +
                    SlotWaitCostMs(*candidate.upstream, query);
          } else {
            const LinkCost& link =
                links[static_cast<size_t>(previous) * static_cast<size_t>(domain_count) +
                      static_cast<size_t>(candidate.domain)];
            if (link.load > query.max_link_load && !ignore_load) {
              continue;
            }
            cost +=
                best[static_cast<size_t>(at)][static_cast<size_t>(previous)].cost + link.cost_ms;
          }
          Step& step = best[static_cast<size_t>(to)][static_cast<size_t>(candidate.domain)];
          if (cost < step.cost) {
            step = Step{cost, static_cast<int>(i), at, previous};
          }
        }
      }
    }
  }
  const auto& final_steps = best[static_cast<size_t>(count - 1)];
  int domain = static_cast<int>(
      std::min_element(final_steps.begin(), final_steps.end(),
                       [](const Step& a, const Step& b) { return a.cost < b.cost; }) -
      final_steps.begin());
  if (std::isinf(final_steps[static_cast<size_t>(domain)].cost)) {
    return std::nullopt;
  }
  EnginePath path;
  path.cost_ms = final_steps[static_cast<size_t>(domain)].cost;
  for (int at = count - 1; at > start_boundary;) {
    const Step& step = best[static_cast<size_t>(at)][static_cast<size_t>(domain)];
    const Candidate& candidate = candidates[static_cast<size_t>(step.candidate)];
    const UpstreamRecord& record = candidate.upstream->record;
    LayerRange range{boundaries[static_cast<size_t>(step.from_boundary)],
                     boundaries[static_cast<size_t>(at)]};
    // Each engine may appear only once: when the cheapest path returns to an engine, that engine
    // runs all layers in between. Hops are collected from the last to the first.
    const auto earlier = std::find_if(path.hops.begin(), path.hops.end(),
                                      [&](const PathHop& hop) { return hop.id == record.id; });
    if (earlier != path.hops.end()) {
      range.last = earlier->layers.last;
      path.hops.erase(path.hops.begin() + (earlier - path.hops.begin()), path.hops.end());
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
  AddLinks(fleet, query, &path);
  return path;
}

}  // namespace azuregw
