// Decides which preset is in force in this instance. It never applies a lower revision, whatever
// the source: the key-value service after a restore, a lagging reader, a peer that was paused.
//
// Not thread-safe; owned by the control thread.

#ifndef AZUREGW_PRESET_PRESET_TRACKER_H_
#define AZUREGW_PRESET_PRESET_TRACKER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "azuregw/base/result.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

// One revision of the preset in force. Immutable once shared.
struct ActivePreset {
  uint64_t revision = 0;
  std::shared_ptr<const std::string> document;  // JSON text of the preset.
  std::shared_ptr<const Preset> preset;
};

class PresetTracker {
 public:
  enum class OfferResult {
    kApplied,
    kStale,    // The revision is not above the one in force; nothing changed.
    kInvalid,  // The document cannot be read; nothing changed.
  };

  // `document` is the JSON text of the preset of `revision`.
  OfferResult OfferDocument(uint64_t revision, std::string_view document);

  // Revision 0 with null pointers until a document was applied.
  const ActivePreset& Current() const { return m_current; }
  // Reason of the last kInvalid.
  const std::string& LastProblem() const { return m_last_problem; }

 private:
  ActivePreset m_current;  // Invariant: the revision never decreases.
  std::string m_last_problem;
};

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_TRACKER_H_
