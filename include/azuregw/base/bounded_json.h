// Parses JSON text of other processes within limits.
//
// A document takes up to 64 times the memory of its text, and its nesting is chosen by its writer.
// The limits are checked on the text, before any of the document is built.

#ifndef AZUREGW_BASE_BOUNDED_JSON_H_
#define AZUREGW_BASE_BOUNDED_JSON_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

#include "azuregw/base/result.h"

namespace azuregw {

struct JsonLimits {
  size_t max_bytes = 0;
  int max_depth = 0;      // Of nested arrays and objects.
  size_t max_values = 0;  // Members, elements and containers.
};

// Returns the document. Errors: kBodyTooLarge, which names the limit that the text exceeds;
// kMalformedJson.
Result<nlohmann::json> ParseBoundedJson(std::string_view text, const JsonLimits& limits);

}  // namespace azuregw

#endif  // AZUREGW_BASE_BOUNDED_JSON_H_
