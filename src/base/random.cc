// Random over the standard generators.

#include "azuregw/base/random.h"

#include <openssl/rand.h>

#include <array>
#include <random>

namespace azuregw {
namespace {

class MersenneRandom final : public Random {
 public:
  explicit MersenneRandom(uint64_t seed) : m_engine(seed) {}
  uint64_t Next() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace

std::unique_ptr<Random> MakeRandom(uint64_t seed) { return std::make_unique<MersenneRandom>(seed); }

std::unique_ptr<Random> MakeSystemRandom() {
  std::random_device device;
  return MakeRandom((static_cast<uint64_t>(device()) << 32) | device());
}

std::string MakeUniqueId() {
  std::array<unsigned char, 16> bytes;
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  id.reserve(2 * bytes.size());
  for (const unsigned char byte : bytes) {
    id.push_back(kDigits[byte >> 4]);
    id.push_back(kDigits[byte & 15]);
  }
  return id;
}

}  // namespace azuregw
