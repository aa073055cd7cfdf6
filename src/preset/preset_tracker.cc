// Implements the replacement of the active preset by newer revisions.

#include "azuregw/preset/preset_tracker.h"

#include <cassert>
#include <utility>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {

PresetTracker::OfferResult PresetTracker::OfferDocument(uint64_t revision,
                                                        std::string_view document) {
  if (revision <= m_current.revision) {
    return OfferResult::kStale;
  }
  Result<Preset> decoded = DecodeActivePreset(document);
  if (!decoded) {
    m_last_problem = decoded.error().message;
    return OfferResult::kInvalid;
  }
  ActivePreset next;
  next.revision = revision;
  next.document = std::make_shared<const std::string>(document);
  next.preset = std::make_shared<const Preset>(std::move(decoded.value()));
  assert(next.revision > m_current.revision);
  m_current = std::move(next);
  return OfferResult::kApplied;
}

}  // namespace azuregw
