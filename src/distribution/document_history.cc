// Implements the document history with nlohmann-json for patches and OpenSSL for hashes.

#include "distribution/document_history.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace azuregw {
namespace {

using nlohmann::json;

json ParseJson(std::string_view text) { return json::parse(text, nullptr, false); }

Error Invalid(const char* message) { return NotRun(ResultCode::kPresetInvalid, message); }

}  // namespace

Result<std::string> CanonicalJson(std::string_view text) {
  const json document = ParseJson(text);
  if (document.is_discarded()) {
    return Invalid("document is not JSON");
  }
  return document.dump();
}

Result<std::string> ApplyJsonPatch(std::string_view base, std::string_view patch) {
  const json document = ParseJson(base);
  const json operations = ParseJson(patch);
  if (document.is_discarded() || operations.is_discarded()) {
    return Invalid("document or patch is not JSON");
  }
  try {
    return document.patch(operations).dump();
  } catch (const json::exception& error) {
    return Invalid(error.what());
  }
}

std::vector<uint8_t> Sha256(std::string_view text) {
  std::vector<uint8_t> hash(EVP_MAX_MD_SIZE);
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(), nullptr);
  hash.resize(size);
  return hash;
}

void DocumentHistory::Push(uint64_t revision, std::string canonical_text) {
  if (m_current.text) {
    m_previous.push_back(m_current);
  }
  while (m_previous.size() + 1 > m_max_documents) {
    m_previous.pop_front();
  }
  m_patch_cache.clear();
  m_current.revision = revision;
  m_current.hash = Sha256(canonical_text);
  m_current.text = std::make_shared<const std::string>(std::move(canonical_text));
}

const std::string& DocumentHistory::PatchFrom(uint64_t base) {
  const auto it = m_patch_cache.find(base);
  if (it != m_patch_cache.end()) {
    return it->second;
  }
  static const std::string* const no_patch = new std::string;
  for (const DocumentRevision& previous : m_previous) {
    if (previous.revision == base) {
      return m_patch_cache.emplace(base, MakePatch(base)).first->second;
    }
  }
  return *no_patch;
}

std::string DocumentHistory::MakePatch(uint64_t base) const {
  for (const DocumentRevision& previous : m_previous) {
    if (previous.revision == base) {
      std::string patch = json::diff(ParseJson(*previous.text), ParseJson(*m_current.text)).dump();
      return patch.size() < m_current.text->size() ? patch : std::string();
    }
  }
  return std::string();
}

}  // namespace azuregw
