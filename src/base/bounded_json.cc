// Checks the size, nesting and number of values of JSON text, and parses it.

#include "azuregw/base/bounded_json.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace azuregw {
namespace {

Error Excess(std::string reason) { return NotRun(ResultCode::kBodyTooLarge, std::move(reason)); }

// Returns the position behind the string that begins at `begin`; the end of the text if it is open.
size_t SkipString(std::string_view text, size_t begin) {
  size_t at = begin + 1;
  while (true) {
    const size_t quote = text.find('"', at);
    if (quote == std::string_view::npos) {
      return text.size();
    }
    size_t escapes = 0;
    while (quote - escapes > at && text[quote - escapes - 1] == '\\') {
      ++escapes;
    }
    at = quote + 1;
    if (escapes % 2 == 0) {
      return at;
    }
  }
}

// Returns the first limit that the text exceeds. Counts are exact for valid JSON.
std::optional<Error> FindExcess(std::string_view text, const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    return Excess("longer than " + std::to_string(limits.max_bytes) + " bytes");
  }
  int depth = 0;
  size_t values = 1;
  for (size_t i = 0; i < text.size();) {
    switch (text[i]) {
      case '"':
        i = SkipString(text, i);
        continue;
      case '[':
      case '{':
        ++values;
        if (++depth > limits.max_depth) {
          return Excess("nested deeper than " + std::to_string(limits.max_depth));
        }
        break;
      case ']':
      case '}':
        --depth;
        break;
      case ',':
        ++values;
        break;
      default:
        break;
    }
    ++i;
  }
  if (values > limits.max_values) {
    return Excess("more than " + std::to_string(limits.max_values) + " values");
  }
  return std::nullopt;
}

}  // namespace

Result<nlohmann::json> ParseBoundedJson(std::string_view text, const JsonLimits& limits) {
  if (const auto excess = FindExcess(text, limits)) {
    return *excess;
  }
  nlohmann::json document = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return NotRun(ResultCode::kMalformedJson, "no valid JSON");
  }
  return document;
}

}  // namespace azuregw
