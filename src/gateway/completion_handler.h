// Runs completions: admission, generation, and the answer whole or as a stream.

#ifndef AZUREGW_SRC_GATEWAY_COMPLETION_HANDLER_H_
#define AZUREGW_SRC_GATEWAY_COMPLETION_HANDLER_H_

#include <memory>
#include <string>

#include "gateway/completion_json.h"
#include "gateway/exchange.h"

namespace azuregw {

// The exchange has a snapshot with a preset and a workspace.
void HandleCompletion(const std::shared_ptr<Exchange>& exchange, CompletionKind kind,
                      const std::string& body);

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_COMPLETION_HANDLER_H_
