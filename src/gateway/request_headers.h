// Headers of callers that carry numbers.

#ifndef AZUREGW_SRC_GATEWAY_REQUEST_HEADERS_H_
#define AZUREGW_SRC_GATEWAY_REQUEST_HEADERS_H_

#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"

namespace azuregw {

// X-Azuregw-Deadline-Ms; `fallback` when empty. Errors: kInvalidField.
Result<Milliseconds> ParseDeadline(const std::string& header, Milliseconds fallback);

// Last-Event-ID; -1 when empty. Errors: kInvalidField.
Result<int> ParseLastEventId(const std::string& header);

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_REQUEST_HEADERS_H_
