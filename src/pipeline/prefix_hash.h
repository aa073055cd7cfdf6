// Hashes of a prompt's prefixes, as engines report them in cache events (docs/assumptions.md).

#ifndef AZUREGW_SRC_PIPELINE_PREFIX_HASH_H_
#define AZUREGW_SRC_PIPELINE_PREFIX_HASH_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace azuregw {

// FNV-1a 64 of the first 256·k bytes for k = 1, 2, ..., at most 64 values, shortest prefix first.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace azuregw

#endif  // AZUREGW_SRC_PIPELINE_PREFIX_HASH_H_
