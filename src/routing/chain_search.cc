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
constexpr double kKnee = 0.85;
constexpr double kQueueSlope = 20.0;
// Utilisation assumed for other instances when nothing is known.
constexpr double kUnknownUtilisation = 0.5;
constexpr double kMaxSlowdown = 100.0;
constexpr int kMaxFailureShift = 6;

// Measured latency relative to what the load explains, at least 1.
double Slowdown(const PlannedEngine& engine, double unloaded_ms) {
  const double measured = engine.record->health.LatencyMs() - engine.link_ms;
  return std::clamp(measured / unloaded_ms, 1.0, kMaxSlowdown);
}

uint64_t NextRandom(uint64_t* state) {
  *state += 0x9e3779b97f4a7c15ULL;
  uint64_t value = *state;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

double Discount(const PlannedEngine& engine, gsl::span<const PrefixCacheIndex::Match> matches,
                size_t prefix_length, double most) {
  for (const PrefixCacheIndex::Match& match : matches) {
    if (match.engine == engine.record->id) {
      return 1.0 - most * static_cast<double>(match.length) / static_cast<double>(prefix_length);
    }
  }
  return 1.0;
}

}  // namespace

double ServiceMs(const PlannedEngine& engine, TimePoint now, bool use_slow_start) {
  const EngineRecord& record = *engine.record;
  const double capacity = std::max(1, engine.spec->capacity);
  const double usable = use_slow_start ? capacity * record.slow_start.Share(now) : capacity;
  const double sequences = record.load.Sequences(now, kUnknownUtilisation * capacity);
  const double utilisation = (sequences + 1.0) / usable;
  const double batch = 1.0 + kBatchSlope * std::min(utilisation, 1.0);
  const double queue = kQueueSlope * std::max(0.0, utilisation - kKnee);
  const double expected = engine.spec->step_ms * batch;
  const int failures = std::min(record.health.ConsecutiveFailures(), kMaxFailureShift);
  return (expected * Slowdown(engine, expected) + engine.spec->step_ms * queue) *
         static_cast<double>(1 << failures);
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
        const bool usable = !engine.record->leaving.Leaving(now) &&
                            !(options.use_ejection && engine.record->health.Ejected(now));
        if (!usable) {
          continue;
        }
        const double service = ServiceMs(engine, now, options.use_slow_start);
        const double cost =
            service * Discount(engine, matches, prefix_length, options.cache_discount);
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
