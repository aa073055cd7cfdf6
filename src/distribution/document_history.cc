// Documents and patches, with nlohmann-json.

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
    m_former.push_back(m_current);
  }
  while (m_former.size() + 1 > m_kept) {
    m_former.pop_front();
  }
  m_patches.clear();
  m_current.revision = revision;
  m_current.hash = Sha256(canonical_text);
  m_current.text = std::make_shared<const std::string>(std::move(canonical_text));
}

const std::string& DocumentHistory::PatchFrom(uint64_t base) {
  const auto it = m_patches.find(base);
  if (it != m_patches.end()) {
    return it->second;
  }
  static const std::string* const no_patch = new std::string;
  for (const DocumentRevision& former : m_former) {
    if (former.revision == base) {
      return m_patches.emplace(base, MakePatch(base)).first->second;
    }
  }
  return *no_patch;
}

std::string DocumentHistory::MakePatch(uint64_t base) const {
  for (const DocumentRevision& former : m_former) {
    if (former.revision == base) {
      std::string patch = json::diff(ParseJson(*former.text), ParseJson(*m_current.text)).dump();
      return patch.size() < m_current.text->size() ? patch : std::string();
    }
  }
  return std::string();
}

}  // namespace azuregw
