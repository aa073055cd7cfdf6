// Finds the workspace of a bearer key.

#ifndef AZUREGW_SRC_GATEWAY_WORKSPACE_KEYS_H_
#define AZUREGW_SRC_GATEWAY_WORKSPACE_KEYS_H_

#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

// Lower-case hexadecimal SHA-256.
std::string Sha256Hex(std::string_view text);

// Returns the workspace's name for an Authorization header. The time taken does not depend on the
// key. Errors: kUnauthorized.
Result<std::string> FindWorkspace(const Preset& preset, std::string_view authorization);

}  // namespace azuregw

#endif  // AZUREGW_SRC_GATEWAY_WORKSPACE_KEYS_H_
