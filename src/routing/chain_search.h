// Search for a near-cheapest chain in a model's plan.

#ifndef SRC_ROUTING_CHAIN_SEARCH_H_
#define SRC_ROUTING_CHAIN_SEARCH_H_

#include <cstdint>
#include <gsl/span>
#include <vector>

#include "azuregw/routing/chain_planner.h"
#include "azuregw/routing/prefix_cache_index.h"
#include "azuregw/routing/selector_options.h"

namespace azuregw {

// Returns the expected time per token at the engine, in ms, with one additional sequence.
double ServiceMs(const PlannedEngine& engine, const SelectorOptions& options, TimePoint now);

// Finds a near-cheapest chain: computes the cheapest cost to the end per (boundary, failure domain)
// by dynamic programming, then samples an engine per stage from the first layer to the last.
// O(engines in the plan x failure domains). Reuses its buffers between searches; not thread-safe.
class ChainSearch {
 public:
  // Searches for a chain. Returns false if none exists; otherwise Engines() and ExpectedStepMs()
  // describe it. `matches` lists the engines that hold a prefix of the prompt, which has
  // `prefix_length` hashes. `random` seeds the sampling.
  bool Find(const ModelPlan& plan, const SelectorOptions& options,
            gsl::span<const PrefixCacheIndex::Match> matches, size_t prefix_length, uint64_t random,
            TimePoint now);

  // Returns the engines of the found chain in stage order.
  gsl::span<const PlannedEngine* const> Engines() const { return m_engines; }
  // Returns the expected time per token through the found chain, in ms.
  double ExpectedStepMs() const { return m_expected_step_ms; }

 private:
  // Fills m_candidates, m_first_candidate and m_best_suffix_ms.
  void ComputeSuffixCosts(const ModelPlan& plan, const SelectorOptions& options,
                          gsl::span<const PrefixCacheIndex::Match> matches, size_t prefix_length,
                          TimePoint now);
  // Appends an engine whose range starts at `boundary` to the chain; returns its end boundary.
  int ChooseStage(const ModelPlan& plan, const SelectorOptions& options, int boundary,
                  int previous_domain, uint64_t random);

  // A usable engine and the cost of the chain from it to the last layer.
  struct Candidate {
    const PlannedEngine* engine;
    int end_boundary;   // Index of the boundary at the end of the engine's range.
    double service_ms;  // Expected time per token, without the cache saving.
    double cost_ms;     // Expected time per token, less the cache saving.
    double suffix_ms;   // Cost from the engine to the last layer, without the link to the engine.
  };

  std::vector<Candidate> m_candidates;    // Ordered by start boundary, descending.
  std::vector<size_t> m_first_candidate;  // Per start boundary: first index in m_candidates.
  // Cheapest cost to the last layer by boundary and previous domain: boundary_count x
  // (domain_count + 1) values.
  std::vector<double> m_best_suffix_ms;
  // Candidates within the tolerance at the current stage.
  std::vector<size_t> m_near_best;
  std::vector<const PlannedEngine*> m_engines;  // Engines of the chain in stage order.
  double m_expected_step_ms = 0;                // Expected time per token through m_engines.
};

}  // namespace azuregw

#endif  // SRC_ROUTING_CHAIN_SEARCH_H_
