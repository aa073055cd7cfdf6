// Reads and writes named presets and the active preset in the key-value service. Used by the
// commands of operators.
//
// All calls block on the service. If the reply to an activation is lost, the store looks the change
// up by its change ID; it never sends a write twice.

#ifndef AZUREGW_PRESET_PRESET_STORE_H_
#define AZUREGW_PRESET_PRESET_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azuregw/base/result.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/preset/preset_record.h"

namespace azuregw {

struct NamedPreset {
  std::string name;
  uint64_t version = 0;  // Revision of the key; the precondition of Edit.
  std::string document;  // JSON text.
};

// Preconditions for activating a preset. An absent one is not checked.
struct UsePreconditions {
  std::optional<uint64_t> revision;  // Revision of the active preset before the change.
  // Version of the named preset. Detects a stale read of the service after an edit.
  std::optional<uint64_t> version;
};

// Creates, edits, lists and activates presets. Each change takes effect at most once.
//
// All calls can return kKvUnavailable, which means that nothing changed.
class PresetStore {
 public:
  // `store` must outlive this object. `new_change_id` returns an ID that is unique over all
  // processes. `sleep` blocks between attempts to read a change back.
  PresetStore(KeyValueStore* store, std::function<std::string()> new_change_id,
              std::function<void(Milliseconds)> sleep);

  // Validates and stores a new named preset and returns its version. Errors: kPresetInvalid,
  // kPresetConflict (the name exists), kPresetOutcomeUnknown (the preset may have been stored).
  Result<uint64_t> Create(const std::string& name, std::string_view document);

  // Replaces a named preset if it still has `version`, and returns the new version. Errors:
  // kPresetInvalid, kPresetConflict (another version), kPresetOutcomeUnknown, kKvNotFound.
  Result<uint64_t> Edit(const std::string& name, uint64_t version, std::string_view document);

  // Returns the named preset with its document. Errors: kKvNotFound.
  Result<NamedPreset> Show(const std::string& name);

  // Returns all named presets, sorted by name, with empty documents.
  Result<std::vector<NamedPreset>> List();

  // Returns the record of the active preset, or nullopt if none was ever activated. Errors:
  // kPresetInvalid (corrupt record).
  Result<std::optional<PresetRecord>> Current();

  // Activates the named preset and returns its revision. Success means that the change took effect.
  // Errors: kKvNotFound, kPresetInvalid, kPresetConflict (not changed; the message names the
  // revision that is active instead), kPresetOutcomeUnknown (the change may still take effect).
  Result<uint64_t> Use(const std::string& name, const std::string& author,
                       const UsePreconditions& conditions);

 private:
  struct CurrentEntry {
    uint64_t version = 0;  // Revision of the key; 0 if the key is absent.
    PresetRecord record;
  };

  Result<CurrentEntry> ReadCurrent();
  Result<uint64_t> SwapCurrent(const CurrentEntry& base, const PresetRecord& next);
  Result<uint64_t> ResolveSwap(const CurrentEntry& base, const std::string& change_id);
  Result<uint64_t> Write(const std::string& name, uint64_t version, std::string_view document);
  Result<uint64_t> ResolveWrite(const std::string& name, uint64_t version,
                                const std::string& document);
  Error ConflictWithCurrent(const CurrentEntry& base);

  KeyValueStore* m_store;
  std::function<std::string()> m_new_change_id;
  std::function<void(Milliseconds)> m_sleep;
};

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_STORE_H_
