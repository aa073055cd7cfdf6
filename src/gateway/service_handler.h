// Hands calls on plain services to the order service.

#ifndef AZUREGW_SRC_GATEWAY_SERVICE_HANDLER_H_
#define AZUREGW_SRC_GATEWAY_SERVICE_HANDLER_H_

#include <memory>
#include <string>

#include "gateway/exchange.h"

namespace azuregw {

// `path` stands after "/v1/services/" and has no query. The exchange has a snapshot with a preset
// and a workspace.
void HandleServiceCall(const std::shared_ptr<Exchange>& exchange, const std::string& path,
                       std::string body);

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_SERVICE_HANDLER_H_
