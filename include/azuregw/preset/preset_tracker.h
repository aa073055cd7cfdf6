// Holds the active preset of this instance and decides whether an offered revision replaces it.
// Rejects any revision that is not higher than the active one, whatever its source: the key-value
// service after a restore, a lagging reader, or a peer that was paused.
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

// One revision of the active preset. Immutable once shared.
struct ActivePreset {
  uint64_t revision = 0;
  std::shared_ptr<const std::string> document;  // JSON text of the preset.
  std::shared_ptr<const Preset> preset;
};

// Applies presets in order of their revisions.
class PresetTracker {
 public:
  enum class OfferResult {
    kApplied,
    kStale,    // The revision is not higher than the active one; nothing changed.
    kInvalid,  // The document is not a valid preset; nothing changed.
  };

  // Applies `document`, the JSON text of the preset at `revision`, if it is valid and newer than
  // the active preset.
  OfferResult OfferDocument(uint64_t revision, std::string_view document);

  // Returns the active preset; revision 0 with null pointers until a document was applied.
  const ActivePreset& Current() const { return m_current; }
  // Returns the error message of the last kInvalid; empty if there was none.
  const std::string& LastProblem() const { return m_last_problem; }

 private:
  ActivePreset m_current;  // Invariant: `revision` never decreases.
  std::string m_last_problem;
};

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_TRACKER_H_
