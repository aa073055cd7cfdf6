// Finds the workspace of a bearer key.

#include "gateway/workspace_keys.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace azuregw {
namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

std::string Sha256Hex(std::string_view text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

Result<std::string> FindWorkspace(const Preset& preset, std::string_view authorization) {
  if (authorization.substr(0, kScheme.size()) != kScheme) {
    return NotRun(ResultCode::kUnauthorized, "a bearer key is required");
  }
  const std::string digest = Sha256Hex(authorization.substr(kScheme.size()));
  const std::string* found = nullptr;
  // All workspaces are compared, so that the time does not show which one matched.
  for (const auto& [name, workspace] : preset.workspaces) {
    if (workspace.key_sha256.size() == digest.size() &&
        CRYPTO_memcmp(workspace.key_sha256.data(), digest.data(), digest.size()) == 0) {
      found = &name;
    }
  }
  if (found == nullptr) {
    return NotRun(ResultCode::kUnauthorized, "unknown key");
  }
  return *found;
}

}  // namespace azuregw
