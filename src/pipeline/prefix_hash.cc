// Incremental FNV-1a hashing of prompt prefixes.

#include "pipeline/prefix_hash.h"

#include <cstddef>

namespace azuregw {
namespace {

constexpr size_t kBlockBytes = 256;
constexpr size_t kMaxBlocks = 64;
constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

}  // namespace

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  uint64_t hash = kFnvOffset;
  for (size_t i = 0; i < prompt.size() && hashes.size() < kMaxBlocks; ++i) {
    hash = (hash ^ static_cast<unsigned char>(prompt[i])) * kFnvPrime;
    if ((i + 1) % kBlockBytes == 0) {
      hashes.push_back(hash);
    }
  }
  return hashes;
}

}  // namespace azuregw
