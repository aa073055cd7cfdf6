// The reply of GET /admin/status.

#ifndef SRC_SERVE_STATUS_JSON_H_
#define SRC_SERVE_STATUS_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "azuregw/control/control_loop.h"
#include "azuregw/control/snapshot.h"

namespace azuregw {

nlohmann::json StatusToJson(const Snapshot& snapshot, const Readiness& readiness);

}  // namespace azuregw

#endif  // SRC_SERVE_STATUS_JSON_H_
