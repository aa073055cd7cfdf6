// Searches one model's plan for a near-cheapest chain.

#ifndef SRC_ROUTING_CHAIN_SEARCH_H_
#define SRC_ROUTING_CHAIN_SEARCH_H_

#include <cstdint>
#include <gsl/span>
#include <vector>

#include "azuregw/routing/chain_planner.h"
#include "azuregw/routing/prefix_cache_index.h"
#include "azuregw/routing/selector_options.h"

namespace azuregw {

// Expected time of one token at the engine, in ms, with one more sequence than now.
double ServiceMs(const PlannedEngine& engine, const SelectorOptions& options, TimePoint now);

// Dynamic programming over (boundary, failure domain), then one pass from the first layer to the
// last that samples an engine per range. O(engines in the plan x failure domains). Keeps its
// buffers between searches; not thread-safe.
class ChainSearch {
 public:
  // Returns false when no chain exists. `engines` receives the chosen engines in order and
  // `expected_ms` the time of one token through them.
  bool Find(const ModelPlan& plan, const SelectorOptions& options,
            gsl::span<const PrefixCacheIndex::Match> matches, size_t prefix_length, uint64_t random,
            TimePoint now);

  gsl::span<const PlannedEngine* const> Engines() const { return m_engines; }
  double ExpectedMs() const { return m_expected_ms; }

 private:
  void ComputeTails(const ModelPlan& plan, const SelectorOptions& options,
                    gsl::span<const PrefixCacheIndex::Match> matches, size_t prefix_length,
                    TimePoint now);
  // Chooses among the groups that start at `boundary`; returns the group's end boundary.
  int ChooseStage(const ModelPlan& plan, const SelectorOptions& options, int boundary,
                  int previous_domain, uint64_t random);

  struct Candidate {
    const PlannedEngine* engine;
    int to;          // Boundary after the engine.
    double service;  // Without cache discount.
    double cost;     // Service with cache discount.
    double tail;     // Cost from the engine to the end of the chain; infinite when not usable.
  };

  std::vector<Candidate> m_candidates;  // In the order of the plan's groups and engines.
  std::vector<size_t> m_first;          // Per boundary: first index in m_candidates.
  std::vector<double> m_best;           // boundaries x (domains + 1): cheapest way to the end.
  std::vector<size_t> m_near;
  std::vector<const PlannedEngine*> m_engines;
  double m_expected_ms = 0;
};

}  // namespace azuregw

#endif  // SRC_ROUTING_CHAIN_SEARCH_H_
