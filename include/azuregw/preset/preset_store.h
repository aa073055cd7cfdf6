// Named presets and the preset in force, in the key-value service. Used by the operators' commands.
//
// All calls block on the service. A change whose reply was lost is looked up by its change id and
// is never sent a second time.

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
  uint64_t version = 0;  // Revision of the key, for Edit.
  std::string document;  // JSON text.
};

// What must hold for a preset to be put in force; absent conditions hold.
struct UsePreconditions {
  std::optional<uint64_t> revision;  // In force before.
  // Of the named preset. Guards against a reader of the service that lags behind an edit.
  std::optional<uint64_t> version;
};

class PresetStore {
 public:
  // `new_change_id` returns a text that is unique over all processes. `sleep` waits between
  // attempts to read back.
  PresetStore(KeyValueStore* store, std::function<std::string()> new_change_id,
              std::function<void(Milliseconds)> sleep);

  // Errors of all calls: kKvUnavailable (nothing changed).

  // Validates and stores a new named preset; returns its version. Errors: kPresetInvalid,
  // kPresetConflict (the name exists), kPresetOutcomeUnknown.
  Result<uint64_t> Create(const std::string& name, std::string_view document);

  // Replaces a named preset if it still has `version`; returns the new version. Errors as for
  // Create, and kKvNotFound.
  Result<uint64_t> Edit(const std::string& name, uint64_t version, std::string_view document);

  // Errors: kKvNotFound.
  Result<NamedPreset> Show(const std::string& name);

  // Without documents, in name order.
  Result<std::vector<NamedPreset>> List();

  // Nullopt when no preset was ever put in force. Errors: kPresetInvalid (damaged record).
  Result<std::optional<PresetRecord>> Current();

  // Puts the named preset in force and returns its revision; success means that the change took
  // effect. Errors: kKvNotFound, kPresetInvalid, kPresetConflict (not changed; the message names
  // the revision that won), kPresetOutcomeUnknown.
  Result<uint64_t> Use(const std::string& name, const std::string& author,
                       const UsePreconditions& conditions);

 private:
  struct CurrentEntry {
    uint64_t version = 0;  // Revision of the key; 0 when absent.
    PresetRecord record;
  };

  Result<CurrentEntry> ReadCurrent();
  Result<uint64_t> Swap(const CurrentEntry& base, const PresetRecord& next);
  Result<uint64_t> Resolve(const CurrentEntry& base, const std::string& change_id);
  Result<uint64_t> Write(const std::string& name, uint64_t version, std::string_view document);
  Result<uint64_t> ResolveWrite(const std::string& name, uint64_t version,
                                const std::string& document);
  Error ConflictWithWinner(const CurrentEntry& base);

  KeyValueStore* m_store;
  std::function<std::string()> m_new_change_id;
  std::function<void(Milliseconds)> m_sleep;
};

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_STORE_H_
