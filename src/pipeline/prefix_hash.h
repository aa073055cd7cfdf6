// Hashes of a prompt's prefixes, as engines report them in cache events (docs/assumptions.md).

#ifndef AZUREGW_SRC_PIPELINE_PREFIX_HASH_H_
#define AZUREGW_SRC_PIPELINE_PREFIX_HASH_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace azuregw {

// Returns the 64-bit FNV-1a hashes of the first 256·k bytes for k = 1, 2, ..., shortest prefix
// first; at most 64 values.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace azuregw

#endif  // AZUREGW_SRC_PIPELINE_PREFIX_HASH_H_
