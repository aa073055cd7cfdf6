// Rendezvous (highest random weight) hashing: every instance that sees the same names picks the
// same owners, and a change of one name moves only what that name owned.

#ifndef AZUREGW_BASE_RENDEZVOUS_H_
#define AZUREGW_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace azuregw {

// 64-bit FNV-1a with a finalizer; stable over processes and versions.
uint64_t StableHash(std::string_view text);
uint64_t StableHash(std::string_view text, uint64_t seed);

// Indices into `names` of the `count` owners of `key`, highest weight first. Fewer when names run
// out.
std::vector<size_t> RendezvousTop(std::string_view key, gsl::span<const std::string> names,
                                  size_t count);

}  // namespace azuregw

#endif  // AZUREGW_BASE_RENDEZVOUS_H_
