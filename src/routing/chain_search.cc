// Chain search.

#include "routing/chain_search.h"

#include <algorithm>
#include <limits>

namespace azuregw {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
// Batching makes a step at full capacity take twice as long as a step of a single sequence.
constexpr double kBatchSlope = 1.0;
// Beyond this utilisation, sequences wait for a place; the cost rises steeply.
constexpr double kKnee = 1.0;
constexpr double kQueueSlope = 3.0;
// Utilisation assumed for other instances when nothing is known.
constexpr double kUnknownUtilisation = 0.5;
constexpr double kMaxSlowdown = 100.0;
constexpr int kMaxFailureShift = 6;

// Factor on the cost for measured slowness and recent failures, at least 1.
double Penalty(const PlannedEngine& engine, double unloaded_ms, TimePoint now) {
  const EngineHealth& health = engine.record->health;
  const double measured = health.LatencyMs() - engine.link_ms;
  const double slowdown = std::clamp(measured / unloaded_ms, 1.0, kMaxSlowdown);
  const int failures = std::min(health.ConsecutiveFailures(), kMaxFailureShift);
  const double penalty = slowdown * static_cast<double>(1 << failures);
  return penalty > 1.0 ? 1.0 + (penalty - 1.0) * health.Freshness(now) : 1.0;
}

double ExpectedSequences(const LoadEstimator& load, double capacity, const SelectorOptions& options,
                         TimePoint now) {
  const double unknown = kUnknownUtilisation * capacity;
  if (!options.use_local_inflight) {
    return load.Reported(unknown);
  }
  if (!options.use_reports) {
    return load.LocalInflight();
  }
  return options.smooth_reports ? load.Sequences(now, unknown)
                                : load.UnsmoothedSequences(now, unknown);
}

uint64_t NextRandom(uint64_t* state) {
  *state += 0x9e3779b97f4a7c15ULL;
  uint64_t value = *state;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Cost that the engine saves by holding a prefix of the prompt, in ms per token. It does not depend
// on the load, so that a loaded engine loses its advantage.
double CacheSaving(const PlannedEngine& engine, gsl::span<const PrefixCacheIndex::Match> matches,
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
  const double usable = options.use_slow_start ? capacity * record.slow_start.Share(now) : capacity;
  const double sequences = ExpectedSequences(record.load, capacity, options, now);
  const double utilisation = (sequences + 1.0) / usable;
  const double batch = 1.0 + kBatchSlope * std::min(utilisation, 1.0);
  const double queue = kQueueSlope * std::max(0.0, utilisation - kKnee);
  const double expected = engine.spec->step_ms * batch;
  return expected * Penalty(engine, expected, now) + engine.spec->step_ms * queue;
}

bool ChainSearch::Find(const ModelPlan& plan, const SelectorOptions& options,
                       gsl::span<const PrefixCacheIndex::Match> matches, size_t prefix_length,
                       uint64_t random, TimePoint now) {
  m_engines.clear();
  m_expected_ms = 0;
  if (plan.boundaries < 2) {
    return false;
  }
  ComputeTails(plan, options, matches, prefix_length, now);
  int domain = plan.FirstStage();
  if (m_best[static_cast<size_t>(domain)] == kInfinite) {
    return false;
  }
  int boundary = 0;
  while (boundary + 1 < plan.boundaries) {
    boundary = ChooseStage(plan, options, boundary, domain, NextRandom(&random));
    domain = m_engines.back()->domain;
  }
  return true;
}

void ChainSearch::ComputeTails(const ModelPlan& plan, const SelectorOptions& options,
                               gsl::span<const PrefixCacheIndex::Match> matches,
                               size_t prefix_length, TimePoint now) {
  const auto domains = static_cast<size_t>(plan.domains);
  const size_t rows = domains + 1;
  const auto boundaries = static_cast<size_t>(plan.boundaries);
  m_candidates.clear();
  m_first.assign(boundaries + 1, 0);
  m_best.assign(boundaries * rows, kInfinite);
  for (size_t d = 0; d < domains; ++d) {
    m_best[(boundaries - 1) * rows + d] = 0.0;
  }
  // Groups are visited from the last boundary to the first, so candidates stand in this order.
  for (size_t boundary = boundaries; boundary-- > 0;) {
    m_first[boundary] = m_candidates.size();
    for (int g = plan.first_group[boundary]; g < plan.first_group[boundary + 1]; ++g) {
      const RangeGroup& group = plan.groups[static_cast<size_t>(g)];
      for (const PlannedEngine& engine : group.engines) {
        const bool usable = !(options.use_leaving_marks && engine.record->leaving.Leaving(now)) &&
                            !(options.use_ejection && engine.record->health.Ejected(now));
        if (!usable) {
          continue;
        }
        const double service = ServiceMs(engine, options, now);
        const double saving = CacheSaving(engine, matches, prefix_length, options.cache_saving);
        const double cost = service - saving;
        const double tail =
            cost +
            m_best[static_cast<size_t>(group.to) * rows + static_cast<size_t>(engine.domain)];
        if (tail == kInfinite) {
          continue;
        }
        m_candidates.push_back({&engine, group.to, service, cost, tail});
        for (size_t d = 0; d < rows; ++d) {
          double& best = m_best[boundary * rows + d];
          best = std::min(best, plan.Edge(static_cast<int>(d), engine.domain) + tail);
        }
      }
    }
  }
}

int ChainSearch::ChooseStage(const ModelPlan& plan, const SelectorOptions& options, int boundary,
                             int previous_domain, uint64_t random) {
  const auto b = static_cast<size_t>(boundary);
  const size_t begin = m_first[b];
  const size_t end = b == 0 ? m_candidates.size() : m_first[b - 1];
  const auto rows = static_cast<size_t>(plan.domains) + 1;
  const double best = m_best[b * rows + static_cast<size_t>(previous_domain)];
  const auto score = [&](size_t i) {
    return plan.Edge(previous_domain, m_candidates[i].engine->domain) + m_candidates[i].tail;
  };
  size_t cheapest = begin;
  for (size_t i = begin; i < end; ++i) {
    if (score(i) < score(cheapest)) {
      cheapest = i;
    }
  }
  // The allowance refers to this stage alone, so that it does not grow with the chain.
  const double allowed = best + options.near_best * m_candidates[cheapest].cost;
  m_near.clear();
  for (size_t i = begin; i < end; ++i) {
    if (i == cheapest || score(i) <= allowed) {
      m_near.push_back(i);
    }
  }
  size_t chosen = cheapest;
  if (options.two_choices) {
    const size_t first = m_near[(random & 0xffffffffU) % m_near.size()];
    const size_t second = m_near[(random >> 32) % m_near.size()];
    chosen = score(first) <= score(second) ? first : second;
  }
  const Candidate& candidate = m_candidates[chosen];
  m_expected_ms += plan.Edge(previous_domain, candidate.engine->domain) + candidate.service;
  m_engines.push_back(candidate.engine);
  return candidate.to;
}

}  // namespace azuregw
