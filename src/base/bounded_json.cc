// Checks the size, nesting and number of values of JSON text, and parses it.

#include "azuregw/base/bounded_json.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace azuregw {
namespace {

Error Excess(std::string reason) { return NotRun(ResultCode::kBodyTooLarge, std::move(reason)); }

// Returns the first limit that the text exceeds. Counts are exact for valid JSON.
std::optional<Error> FindExcess(std::string_view text, const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    return Excess("longer than " + std::to_string(limits.max_bytes) + " bytes");
  }
  int depth = 0;
  size_t values = 1;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
      continue;
    }
    switch (c) {
      case '"':
        in_string = true;
        break;
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
    if (values > limits.max_values) {
      return Excess("more than " + std::to_string(limits.max_values) + " values");
    }
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
