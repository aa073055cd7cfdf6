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

class PresetStore {
 public:
  // `new_change_id` returns a text that is unique over all processes. `sleep` waits between
  // attempts to read back.
  PresetStore(KeyValueStore* store, std::function<std::string()> new_change_id,
              std::function<void(Milliseconds)> sleep);

  // Errors of all calls: kKvUnavailable (nothing changed).

  // Validates and stores a new named preset. Errors: kPresetInvalid, kPresetConflict (the name
  // exists), kPresetOutcomeUnknown.
  Result<void> Create(const std::string& name, std::string_view document);

  // Replaces a named preset if it still has `version`. Errors as for Create, and kKvNotFound.
  Result<void> Edit(const std::string& name, uint64_t version, std::string_view document);

  // Errors: kKvNotFound.
  Result<NamedPreset> Show(const std::string& name);

  // Without documents, in name order.
  Result<std::vector<NamedPreset>> List();

  // Nullopt when no preset was ever put in force. Errors: kPresetInvalid (damaged record).
  Result<std::optional<PresetRecord>> Current();

  // Puts the named preset in force and returns its revision; success means that the change took
  // effect. With `expected`, only when that revision is in force before. Errors: kKvNotFound,
  // kPresetInvalid, kPresetConflict (not changed; the message names the revision that won),
  // kPresetOutcomeUnknown.
  Result<uint64_t> Use(const std::string& name, const std::string& author,
                       std::optional<uint64_t> expected);

 private:
  struct CurrentEntry {
    uint64_t version = 0;  // Revision of the key; 0 when absent.
    PresetRecord record;
  };

  Result<CurrentEntry> ReadCurrent();
  Result<uint64_t> Swap(const CurrentEntry& base, const PresetRecord& next);
  Result<uint64_t> Resolve(const CurrentEntry& base, const std::string& change_id);
  Result<void> Write(const std::string& name, uint64_t version, std::string_view document);
  Result<void> ResolveWrite(const std::string& name, uint64_t version, const std::string& document);

  KeyValueStore* m_store;
  std::function<std::string()> m_new_change_id;
  std::function<void(Milliseconds)> m_sleep;
};

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_STORE_H_
