// Rendezvous hashing over names.

#include "azuregw/base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

uint64_t Mix(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33;
  return value;
}

}  // namespace

uint64_t StableHash(std::string_view text) { return StableHash(text, 0); }

uint64_t StableHash(std::string_view text, uint64_t seed) {
  uint64_t hash = kFnvOffset ^ Mix(seed);
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return Mix(hash);
}

std::vector<size_t> RendezvousTop(std::string_view key, gsl::span<const std::string> names,
                                  size_t count) {
  const uint64_t seed = StableHash(key);
  std::vector<std::pair<uint64_t, size_t>> weights;
  weights.reserve(names.size());
  for (size_t i = 0; i < names.size(); ++i) {
    weights.emplace_back(StableHash(names[i], seed), i);
  }
  const size_t kept = std::min(count, weights.size());
  std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(kept),
                    weights.end(), [&names](const auto& a, const auto& b) {
                      if (a.first != b.first) {
                        return a.first > b.first;
                      }
                      return names[a.second] < names[b.second];
                    });
  std::vector<size_t> owners;
  owners.reserve(kept);
  for (size_t i = 0; i < kept; ++i) {
    owners.push_back(weights[i].second);
  }
  return owners;
}

}  // namespace azuregw
