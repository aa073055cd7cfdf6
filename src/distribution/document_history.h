// The newest documents of the preset as canonical JSON text, and patches between them.

#ifndef AZUREGW_SRC_DISTRIBUTION_DOCUMENT_HISTORY_H_
#define AZUREGW_SRC_DISTRIBUTION_DOCUMENT_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"

namespace azuregw {

struct DocumentRevision {
  uint64_t revision = 0;
  std::shared_ptr<const std::string> text;  // Canonical; null for revision 0.
  std::vector<uint8_t> hash;                // SHA-256 of the text.
};

// Compact JSON with sorted keys, so that equal documents have equal texts and hashes. Errors:
// kPresetInvalid.
Result<std::string> CanonicalJson(std::string_view text);

// Canonical text of `base` with the RFC 6902 `patch` applied. Errors: kPresetInvalid.
Result<std::string> ApplyJsonPatch(std::string_view base, std::string_view patch);

std::vector<uint8_t> Sha256(std::string_view text);

class DocumentHistory {
 public:
  explicit DocumentHistory(size_t kept) : m_kept(kept) {}

  const DocumentRevision& Current() const { return m_current; }
  // Makes a document the current one.
  void Push(uint64_t revision, std::string canonical_text);
  // Patch from `base` to the current document; empty when `base` is not held or the patch is not
  // smaller than the document. The result is kept for the next puller.
  const std::string& PatchFrom(uint64_t base);

 private:
  std::string MakePatch(uint64_t base) const;

  const size_t m_kept;
  DocumentRevision m_current;
  std::deque<DocumentRevision> m_former;      // Newest last; at most m_kept - 1.
  std::map<uint64_t, std::string> m_patches;  // From a base to the current document.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_DISTRIBUTION_DOCUMENT_HISTORY_H_
