// Subset selection by systematic sampling over cells and rendezvous hashing within a cell.

#include "azuregw/routing/subset_selector.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

#include "azuregw/base/rendezvous.h"

namespace azuregw {
namespace {

// A candidate with its rendezvous weight for one instance and group.
struct RankedCandidate {
  int failure_domain;
  int kind;
  uint64_t weight;
  size_t index;
};

bool SameCell(const RankedCandidate& a, const RankedCandidate& b) {
  return a.failure_domain == b.failure_domain && a.kind == b.kind;
}

// Returns the candidates sorted by cell and, within a cell, by descending weight.
std::vector<RankedCandidate> Rank(uint64_t seed, gsl::span<const SubsetCandidate> candidates) {
  std::vector<RankedCandidate> ranked;
  ranked.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const SubsetCandidate& candidate = candidates[i];
    ranked.push_back(
        {candidate.failure_domain, candidate.kind, StableHash(candidate.name, seed), i});
  }
  std::sort(ranked.begin(), ranked.end(), [](const RankedCandidate& a, const RankedCandidate& b) {
    return std::tie(a.failure_domain, a.kind, b.weight, a.index) <
           std::tie(b.failure_domain, b.kind, a.weight, b.index);
  });
  return ranked;
}

}  // namespace

std::vector<size_t> SubsetSelector::Select(std::string_view instance, std::string_view group,
                                           gsl::span<const SubsetCandidate> candidates) const {
  std::vector<size_t> chosen;
  const size_t count = candidates.size();
  if (m_subset_size == 0 || count <= m_subset_size) {
    chosen.resize(count);
    for (size_t i = 0; i < count; ++i) {
      chosen[i] = i;
    }
    return chosen;
  }
  const uint64_t seed = StableHash(group, StableHash(instance));
  const std::vector<RankedCandidate> ranked = Rank(seed, candidates);
  // The quota of a cell is the number of equidistant sampling points that fall into it.
  const double offset = static_cast<double>(seed >> 11) * 0x1.0p-53;
  const double density = static_cast<double>(m_subset_size) / static_cast<double>(count);
  const auto points_before = [offset, density](size_t position) {
    return static_cast<size_t>(std::floor(static_cast<double>(position) * density + offset));
  };
  for (size_t begin = 0; begin < count;) {
    size_t end = begin + 1;
    while (end < count && SameCell(ranked[begin], ranked[end])) {
      ++end;
    }
    const size_t quota = std::min(points_before(end) - points_before(begin), end - begin);
    for (size_t i = begin; i < begin + quota; ++i) {
      chosen.push_back(ranked[i].index);
    }
    begin = end;
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace azuregw
