// The operators' table of refusals as JSON.

#ifndef SRC_ADMIN_REFUSALS_JSON_H_
#define SRC_ADMIN_REFUSALS_JSON_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

#include "azuregw/base/result.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/refusals/refusal_record.h"

namespace azuregw {

nlohmann::json RefusalTableToJson(const RefusalTable& table);

// The table of the last `hours` hours up to `wall_ms`. Blocks on the store. Errors: as for
// ReadRefusalTable.
Result<nlohmann::json> ReadRefusals(KeyValueStore* store, int64_t hours, int64_t wall_ms);

}  // namespace azuregw

#endif  // SRC_ADMIN_REFUSALS_JSON_H_
