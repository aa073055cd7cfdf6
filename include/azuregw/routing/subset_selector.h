// Deterministic subsetting: selects the engines of a range that one instance uses.

#ifndef AZUREGW_ROUTING_SUBSET_SELECTOR_H_
#define AZUREGW_ROUTING_SUBSET_SELECTOR_H_

#include <cstddef>
#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace azuregw {

// An engine to select from.
struct SubsetCandidate {
  std::string_view name;   // Name of the upstream.
  int failure_domain = 0;  // Index of the failure domain.
  int kind = 0;            // Index of the accelerator kind.
};

// Selects a stable subset of engines per instance, which bounds the connections of an instance and
// the number of instances that use one engine. Stateless and thread-safe.
class SubsetSelector {
 public:
  // `subset_size`: engines per (model, range); 0 means all.
  explicit SubsetSelector(size_t subset_size) : m_subset_size(subset_size) {}

  // Returns the indices of the selected candidates, ascending. Each (failure domain, kind) cell is
  // represented in proportion to its candidates, to within one engine, and each engine is selected
  // by the same share of the instances. Removing a candidate changes each cell by at most one
  // engine.
  std::vector<size_t> Select(std::string_view instance, std::string_view group,
                             gsl::span<const SubsetCandidate> candidates) const;

 private:
  const size_t m_subset_size;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_SUBSET_SELECTOR_H_
