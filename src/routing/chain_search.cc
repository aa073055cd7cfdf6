// Cost model and dynamic programming of the chain search.

#include "routing/chain_search.h"

#include <algorithm>
#include <limits>

namespace azuregw {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
// Relative increase of the step time by batching: a step at full capacity takes twice as long as a
// step of a single sequence.
constexpr double kBatchSlope = 1.0;
// Utilisation above which sequences queue; the cost rises with kQueueSlope.
constexpr double kSaturationUtilisation = 1.0;
// Queueing cost per unit of utilisation above saturation, in steps.
constexpr double kQueueSlope = 3.0;
// Utilisation by other instances that is assumed without a load report.
constexpr double kAssumedUtilisation = 0.5;
// Limit of measured over expected latency.
constexpr double kMaxSlowdown = 100.0;
// Each consecutive failure doubles the cost, up to 2^kMaxFailureExponent.
constexpr int kMaxFailureExponent = 6;

// Returns the cost factor for measured slowness and recent failures, at least 1.
double HealthPenalty(const PlannedEngine& engine, double unloaded_ms, TimePoint now) {
  const EngineHealth& health = engine.record->health;
  const double measured = health.LatencyMs() - engine.link_ms;
  const double slowdown = std::clamp(measured / unloaded_ms, 1.0, kMaxSlowdown);
  const int failures = std::min(health.ConsecutiveFailures(), kMaxFailureExponent);
  const double penalty = slowdown * static_cast<double>(1 << failures);
  return penalty > 1.0 ? 1.0 + (penalty - 1.0) * health.Freshness(now) : 1.0;
}

// Returns the estimated sequences at the engine from the sources that `options` enables.
double ExpectedSequences(const LoadEstimator& load, double capacity, const SelectorOptions& options,
                         TimePoint now) {
  const double assumed = kAssumedUtilisation * capacity;
  if (!options.use_local_inflight) {
    return load.ReportedSequences(assumed);
  }
  if (!options.use_reports) {
    return load.LocalInflight();
  }
  return options.smooth_reports ? load.Sequences(now, assumed)
                                : load.UnsmoothedSequences(now, assumed);
}

// Advances a SplitMix64 generator.
uint64_t NextRandom(uint64_t* state) {
  *state += 0x9e3779b97f4a7c15ULL;
  uint64_t value = *state;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Returns the cost in ms per token that the engine saves by holding a prefix of the prompt. It is
// independent of the load, so that the load outweighs it on a busy engine.
double CacheSavingMs(const PlannedEngine& engine, gsl::span<const PrefixCacheIndex::Match> matches,
                     size_t prefix_length, double share) {
  for (const PrefixCacheIndex::Match& match : matches) {
    if (match.engine == engine.record->id) {
      const auto length = static_cast<double>(match.length);
      return share * engine.spec->step_ms * length / static_cast<double>(prefix_length);
    }
  }
  return 0.0;
}

}  // namespace

double ServiceMs(const PlannedEngine& engine, const SelectorOptions& options, TimePoint now) {
  const EngineRecord& record = *engine.record;
  const double capacity = std::max(1, engine.spec->capacity);
  const double usable =
      options.use_slow_start ? capacity * record.slow_start.CapacityShare(now) : capacity;
  const double sequences = ExpectedSequences(record.load, capacity, options, now);
  const double utilisation = (sequences + 1.0) / usable;
  const double batch = 1.0 + kBatchSlope * std::min(utilisation, 1.0);
  const double queue = kQueueSlope * std::max(0.0, utilisation - kSaturationUtilisation);
  const double expected = engine.spec->step_ms * batch;
  return expected * HealthPenalty(engine, expected, now) + engine.spec->step_ms * queue;
}

bool ChainSearch::Find(const ModelPlan& plan, const SelectorOptions& options,
                       gsl::span<const PrefixCacheIndex::Match> matches, size_t prefix_length,
                       uint64_t random, TimePoint now) {
  m_engines.clear();
  m_expected_step_ms = 0;
  if (plan.boundary_count < 2) {
    return false;
  }
  ComputeSuffixCosts(plan, options, matches, prefix_length, now);
  int domain = plan.EntryDomain();
  if (m_best_suffix_ms[static_cast<size_t>(domain)] == kInfinite) {
    return false;
  }
  int boundary = 0;
  while (boundary + 1 < plan.boundary_count) {
    boundary = ChooseStage(plan, options, boundary, domain, NextRandom(&random));
    domain = m_engines.back()->domain;
  }
  return true;
}

void ChainSearch::ComputeSuffixCosts(const ModelPlan& plan, const SelectorOptions& options,
                                     gsl::span<const PrefixCacheIndex::Match> matches,
                                     size_t prefix_length, TimePoint now) {
  const auto domains = static_cast<size_t>(plan.domain_count);
  const size_t rows = domains + 1;
  const auto boundaries = static_cast<size_t>(plan.boundary_count);
  m_candidates.clear();
  m_first_candidate.assign(boundaries + 1, 0);
  m_best_suffix_ms.assign(boundaries * rows, kInfinite);
  for (size_t d = 0; d < domains; ++d) {
    m_best_suffix_ms[(boundaries - 1) * rows + d] = 0.0;
  }
  // Suffix costs depend on later boundaries, so boundaries are visited from last to first, and
  // m_candidates has the same order.
  for (size_t boundary = boundaries; boundary-- > 0;) {
    m_first_candidate[boundary] = m_candidates.size();
    for (int g = plan.first_group[boundary]; g < plan.first_group[boundary + 1]; ++g) {
      const RangeGroup& group = plan.groups[static_cast<size_t>(g)];
      for (const PlannedEngine& engine : group.engines) {
        const bool usable = !(options.use_leaving_state && engine.record->leaving.IsLeaving(now)) &&
                            !(options.use_ejection && engine.record->health.IsEjected(now));
        if (!usable) {
          continue;
        }
        const double service_ms = ServiceMs(engine, options, now);
        const double saving =
            CacheSavingMs(engine, matches, prefix_length, options.cache_saving_share);
        const double cost_ms = service_ms - saving;
        const double suffix_ms =
            cost_ms + m_best_suffix_ms[static_cast<size_t>(group.end_boundary) * rows +
                                       static_cast<size_t>(engine.domain)];
        if (suffix_ms == kInfinite) {
          continue;
        }
        m_candidates.push_back({&engine, group.end_boundary, service_ms, cost_ms, suffix_ms});
        for (size_t d = 0; d < rows; ++d) {
          double& best = m_best_suffix_ms[boundary * rows + d];
          best = std::min(best, plan.EdgeMs(static_cast<int>(d), engine.domain) + suffix_ms);
        }
      }
    }
  }
}

int ChainSearch::ChooseStage(const ModelPlan& plan, const SelectorOptions& options, int boundary,
                             int previous_domain, uint64_t random) {
  const auto b = static_cast<size_t>(boundary);
  const size_t begin = m_first_candidate[b];
  const size_t end = b == 0 ? m_candidates.size() : m_first_candidate[b - 1];
  const auto rows = static_cast<size_t>(plan.domain_count) + 1;
  const double best = m_best_suffix_ms[b * rows + static_cast<size_t>(previous_domain)];
  const auto score = [&](size_t i) {
    return plan.EdgeMs(previous_domain, m_candidates[i].engine->domain) + m_candidates[i].suffix_ms;
  };
  size_t cheapest = begin;
  for (size_t i = begin; i < end; ++i) {
    if (score(i) < score(cheapest)) {
      cheapest = i;
    }
  }
  // The tolerance applies to the cost of this stage, so that it does not grow with the chain
  // length.
  const double allowed = best + options.near_best_tolerance * m_candidates[cheapest].cost_ms;
  m_near_best.clear();
  for (size_t i = begin; i < end; ++i) {
    if (i == cheapest || score(i) <= allowed) {
      m_near_best.push_back(i);
    }
  }
  size_t chosen = cheapest;
  if (options.use_two_choices) {
    const size_t first = m_near_best[(random & 0xffffffffU) % m_near_best.size()];
    const size_t second = m_near_best[(random >> 32) % m_near_best.size()];
    chosen = score(first) <= score(second) ? first : second;
  }
  const Candidate& candidate = m_candidates[chosen];
  m_expected_step_ms +=
      plan.EdgeMs(previous_domain, candidate.engine->domain) + candidate.service_ms;
  m_engines.push_back(candidate.engine);
  return candidate.end_boundary;
}

}  // namespace azuregw
