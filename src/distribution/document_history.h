// Keeps the latest preset documents as canonical JSON text and computes patches between them.

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

// One revision of the preset document.
struct DocumentRevision {
  uint64_t revision = 0;
  std::shared_ptr<const std::string> text;  // Canonical; null for revision 0.
  std::vector<uint8_t> hash;                // SHA-256 of the text.
};

// Returns `text` as compact JSON with sorted keys, so that equal documents have equal texts and
// hashes. Errors: kPresetInvalid.
Result<std::string> CanonicalJson(std::string_view text);

// Applies the RFC 6902 `patch` to `base` and returns the canonical text. Errors: kPresetInvalid.
Result<std::string> ApplyJsonPatch(std::string_view base, std::string_view patch);

// Returns the 32 bytes of the SHA-256 of `text`.
std::vector<uint8_t> Sha256(std::string_view text);

// Bounded history of documents that serves patches to peers with an older revision. Not
// thread-safe.
class DocumentHistory {
 public:
  // Keeps up to `max_documents` documents, including the current one.
  explicit DocumentHistory(size_t max_documents) : m_max_documents(max_documents) {}

  const DocumentRevision& Current() const { return m_current; }
  // Replaces the current document and moves the previous one to the history.
  void Push(uint64_t revision, std::string canonical_text);
  // Returns the patch from `base` to the current document; empty if `base` is not in the history or
  // the patch is not smaller than the document. The patch is cached until the next Push.
  const std::string& PatchFrom(uint64_t base);

 private:
  std::string MakePatch(uint64_t base) const;

  const size_t m_max_documents;
  DocumentRevision m_current;
  std::deque<DocumentRevision> m_previous;  // Oldest first; at most m_max_documents - 1 entries.
  // Patches to the current document, by base revision.
  std::map<uint64_t, std::string> m_patch_cache;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_DISTRIBUTION_DOCUMENT_HISTORY_H_
