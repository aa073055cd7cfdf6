// Reads the body of a request up to a limit.

#ifndef AZUREGW_SRC_GATEWAY_BODY_READER_H_
#define AZUREGW_SRC_GATEWAY_BODY_READER_H_

#include <cpprest/http_msg.h>

#include <cstdint>
#include <functional>
#include <string>

#include "azuregw/base/result.h"

namespace azuregw {

// Calls `done` exactly once, on a library thread. A body over the limit is not kept in memory: it
// is refused by its Content-Length, or as soon as the limit is passed. Errors: kBodyTooLarge,
// kCallerGone.
void ReadBody(const web::http::http_request& message, int64_t max_bytes,
              std::function<void(Result<std::string>)> done);

// Discards a body that nobody reads.
void DiscardBody(const web::http::http_request& message);

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_BODY_READER_H_
