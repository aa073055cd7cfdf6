// Chooses the engines of a range that one instance uses.

#ifndef AZUREGW_ROUTING_SUBSET_SELECTOR_H_
#define AZUREGW_ROUTING_SUBSET_SELECTOR_H_

#include <cstddef>
#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace azuregw {

struct SubsetCandidate {
  std::string_view name;
  int failure_domain = 0;
  int kind = 0;
};

class SubsetSelector {
 public:
  // `subset_size` engines per (model, range); 0 means all.
  explicit SubsetSelector(size_t subset_size) : m_subset_size(subset_size) {}

  // Indices of the chosen candidates, ascending. Every cell (failure domain, kind) is represented
  // by its share of the candidates, up to one engine, and every engine is chosen by the same share
  // of the instances. A candidate that disappears changes each cell by one engine at most.
  std::vector<size_t> Select(std::string_view instance, std::string_view group,
                             gsl::span<const SubsetCandidate> candidates) const;

 private:
  const size_t m_subset_size;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_SUBSET_SELECTOR_H_
