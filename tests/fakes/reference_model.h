// The arithmetic of the fake model. A token depends on every layer having run once, in order, for
// each token before it, so that a skipped, repeated or swapped layer shows in the text of the
// answer.

#ifndef TESTS_FAKES_REFERENCE_MODEL_H_
#define TESTS_FAKES_REFERENCE_MODEL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azuregw::fakes {

uint64_t MixWords(uint64_t a, uint64_t b, uint64_t c);

// Token ids of a text: one per word separated by white space, at least one.
std::vector<uint32_t> Tokenize(std::string_view text);

// The value that enters layer 0 for a token.
uint64_t Embed(uint32_t token, int position);

// Runs one token through one layer and updates that layer's cache digest.
uint64_t RunLayer(uint64_t input, int layer, int position, uint64_t* cache);

struct Sample {
  uint32_t token = 0;
  std::string text;
  bool end = false;
};

// The token that follows the position whose last activation is `output`.
Sample SampleToken(uint64_t output);

// The whole answer for a prompt, computed on one machine.
std::string ExpectedText(std::string_view prompt, int layers, int max_tokens);

std::string ToHex(uint64_t value);
uint64_t FromHex(const std::string& text);

// FNV-1a 64 over the first 256·k bytes of the prompt, for k = 1, 2, ...
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

}  // namespace azuregw::fakes

#endif  // TESTS_FAKES_REFERENCE_MODEL_H_
