// Random numbers behind an interface, so that decisions are reproducible from a seed in tests.

#ifndef AZUREGW_BASE_RANDOM_H_
#define AZUREGW_BASE_RANDOM_H_

#include <cstdint>
#include <memory>
#include <string>

namespace azuregw {

class Random {
 public:
  virtual ~Random() = default;
  virtual uint64_t Next() = 0;
  // Uniform in [0, bound); bound > 0.
  uint64_t Below(uint64_t bound) { return Next() % bound; }
  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

// A seeded generator for one thread.
std::unique_ptr<Random> MakeRandom(uint64_t seed);

// A generator seeded from the system's entropy.
std::unique_ptr<Random> MakeSystemRandom();

// 32 lower-case hexadecimal digits from the system's entropy; unique over all processes.
// Thread-safe.
std::string MakeUniqueId();

}  // namespace azuregw

#endif  // AZUREGW_BASE_RANDOM_H_
