// Arithmetic of the fake model.

#include "tests/fakes/reference_model.h"

#include <cstdio>
#include <cstdlib>

namespace azuregw::fakes {
namespace {

constexpr uint64_t kVocabulary = 50021;
constexpr uint64_t kEndModulus = 4093;
constexpr size_t kPrefixBlockBytes = 256;
constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

uint64_t Fnv(std::string_view text) {
  uint64_t hash = kFnvOffset;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

}  // namespace

uint64_t MixWords(uint64_t a, uint64_t b, uint64_t c) {
  uint64_t x = a * 0x9e3779b97f4a7c15ULL + b * 0xbf58476d1ce4e5b9ULL + c + 1;
  x ^= x >> 31;
  x *= 0x94d049bb133111ebULL;
  x ^= x >> 29;
  return x;
}

std::vector<uint32_t> Tokenize(std::string_view text) {
  std::vector<uint32_t> tokens;
  size_t begin = 0;
  while (begin < text.size()) {
    size_t end = text.find_first_of(" \n\t", begin);
    end = end == std::string_view::npos ? text.size() : end;
    if (end > begin) {
      tokens.push_back(static_cast<uint32_t>(Fnv(text.substr(begin, end - begin)) % kVocabulary));
    }
    begin = end + 1;
  }
  if (tokens.empty()) {
    tokens.push_back(0);
  }
  return tokens;
}

uint64_t Embed(uint32_t token, int position) {
  return MixWords(token, static_cast<uint64_t>(position), 17);
}

uint64_t RunLayer(uint64_t input, int layer, int position, uint64_t* cache) {
  *cache = MixWords(*cache, input, static_cast<uint64_t>(position));
  return MixWords(input, *cache, static_cast<uint64_t>(layer));
}

Sample SampleToken(uint64_t output) {
  Sample sample;
  sample.token = static_cast<uint32_t>(output % kVocabulary);
  sample.text = "t" + std::to_string(sample.token) + " ";
  sample.end = sample.token % kEndModulus == 0;
  return sample;
}

std::string ExpectedText(std::string_view prompt, int layers, int max_tokens) {
  std::vector<uint64_t> caches(static_cast<size_t>(layers), 0);
  std::vector<uint32_t> pending = Tokenize(prompt);
  std::string text;
  int position = 0;
  for (int generated = 0; generated < max_tokens; ++generated) {
    uint64_t value = 0;
    for (const uint32_t token : pending) {
      value = Embed(token, position);
      for (int layer = 0; layer < layers; ++layer) {
        value = RunLayer(value, layer, position, &caches[static_cast<size_t>(layer)]);
      }
      ++position;
    }
    const Sample sample = SampleToken(value);
    text += sample.text;
    if (sample.end) {
      break;
    }
    pending = {sample.token};
  }
  return text;
}

std::string ToHex(uint64_t value) {
  char buffer[17];
  std::snprintf(buffer, sizeof(buffer), "%016llx",
                static_cast<unsigned long long>(value));  // NOLINT
  return buffer;
}

uint64_t FromHex(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 16); }

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  for (size_t bytes = kPrefixBlockBytes; bytes <= prompt.size(); bytes += kPrefixBlockBytes) {
    hashes.push_back(Fnv(prompt.substr(0, bytes)));
  }
  return hashes;
}

}  // namespace azuregw::fakes
