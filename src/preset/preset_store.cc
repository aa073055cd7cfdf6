// Implements PresetStore with compare-and-swap on the keys of the key-value service.

#include "azuregw/preset/preset_store.h"

#include <algorithm>
#include <utility>

#include "azuregw/preset/preset_codec.h"

namespace azuregw {
namespace {

// Limits the wait for a change to become visible to 1 s.
constexpr int kReadBackAttempts = 5;
constexpr Milliseconds kReadBackInterval{200};

std::string NamedPresetKey(const std::string& name) {
  return std::string(kNamedPresetPrefix) + name;
}

Error Conflict(uint64_t revision, const std::string& author, const std::string& name) {
  return NotRun(ResultCode::kPresetConflict, "not changed: revision " + std::to_string(revision) +
                                                 " (preset \"" + name + "\" by " + author +
                                                 ") is in force");
}

// Returns the record that follows `base` when preset `name` is activated.
PresetRecord NextRecord(const PresetRecord& base, const std::string& name,
                        const std::string& author, const std::string& change_id,
                        std::string document) {
  PresetRecord next;
  next.revision = base.revision + 1;
  next.name = name;
  next.author = author;
  next.change_id = change_id;
  next.recent_changes = base.recent_changes;
  next.recent_changes.push_back({change_id, next.revision});
  if (next.recent_changes.size() > kRecentChanges) {
    const auto excess = static_cast<std::ptrdiff_t>(next.recent_changes.size() - kRecentChanges);
    next.recent_changes.erase(next.recent_changes.begin(), next.recent_changes.begin() + excess);
  }
  next.document = std::move(document);
  return next;
}

bool IsPresetName(const std::string& name) {
  return !name.empty() && name.size() <= 64 &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

}  // namespace

PresetStore::PresetStore(KeyValueStore* store, std::function<std::string()> new_change_id,
                         std::function<void(Milliseconds)> sleep)
    : m_store(store), m_new_change_id(std::move(new_change_id)), m_sleep(std::move(sleep)) {}

Result<uint64_t> PresetStore::Create(const std::string& name, std::string_view document) {
  return Write(name, 0, document);
}

Result<uint64_t> PresetStore::Edit(const std::string& name, uint64_t version,
                                   std::string_view document) {
  if (version == 0) {
    return NotRun(ResultCode::kKvNotFound, "no preset \"" + name + "\"");
  }
  return Write(name, version, document);
}

Result<uint64_t> PresetStore::Write(const std::string& name, uint64_t version,
                                    std::string_view document) {
  if (!IsPresetName(name)) {
    return NotRun(ResultCode::kPresetInvalid,
                  "preset name: expected 1 to 64 letters, digits, \"-\", \"_\" or \".\"");
  }
  const Result<Preset> preset = DecodePreset(document);
  if (!preset) {
    return preset.error();
  }
  if (preset.value().name != name) {
    return NotRun(ResultCode::kPresetInvalid, "/name: expected \"" + name + "\"");
  }
  const std::string text = EncodePreset(preset.value());
  const Result<uint64_t> written = m_store->CompareAndSwap(NamedPresetKey(name), version, text, "");
  if (written) {
    return written.value();
  }
  if (written.error().code == ResultCode::kKvConflict) {
    return NotRun(ResultCode::kPresetConflict,
                  version == 0 ? "preset \"" + name + "\" exists"
                               : "preset \"" + name + "\" was changed or removed in the meantime");
  }
  if (written.error().code == ResultCode::kKvOutcomeUnknown) {
    return ResolveWrite(name, version, text);
  }
  return written.error();
}

Result<uint64_t> PresetStore::ResolveWrite(const std::string& name, uint64_t version,
                                           const std::string& document) {
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    m_sleep(kReadBackInterval);
    const auto entry = m_store->Get(NamedPresetKey(name));
    if (!entry) {
      continue;
    }
    const uint64_t found = entry.value() ? entry.value()->revision : 0;
    if (found <= version) {
      continue;  // The write may still take effect, or the read is stale.
    }
    if (entry.value()->value == document) {
      return found;
    }
    return NotRun(ResultCode::kPresetConflict,
                  "preset \"" + name + "\" has different content; another operator changed it");
  }
  return Unknown(ResultCode::kPresetOutcomeUnknown,
                 "the reply was lost and the change is not visible; it may still take effect: "
                 "check with preset show");
}

Result<NamedPreset> PresetStore::Show(const std::string& name) {
  const auto entry = m_store->Get(NamedPresetKey(name));
  if (!entry) {
    return entry.error();
  }
  if (!entry.value()) {
    return NotRun(ResultCode::kKvNotFound, "no preset \"" + name + "\"");
  }
  return NamedPreset{name, entry.value()->revision, entry.value()->value};
}

Result<std::vector<NamedPreset>> PresetStore::List() {
  const auto entries = m_store->List(kNamedPresetPrefix);
  if (!entries) {
    return entries.error();
  }
  std::vector<NamedPreset> presets;
  for (const KvEntry& entry : entries.value()) {
    presets.push_back({entry.key.substr(kNamedPresetPrefix.size()), entry.revision, ""});
  }
  return presets;
}

Result<PresetStore::CurrentEntry> PresetStore::ReadCurrent() {
  const auto entry = m_store->Get(kCurrentPresetKey);
  if (!entry) {
    return entry.error();
  }
  CurrentEntry current;
  if (!entry.value()) {
    return current;
  }
  Result<PresetRecord> record = DecodePresetRecord(entry.value()->value);
  if (!record) {
    return record.error();
  }
  current.version = entry.value()->revision;
  current.record = std::move(record.value());
  return current;
}

Result<std::optional<PresetRecord>> PresetStore::Current() {
  Result<CurrentEntry> current = ReadCurrent();
  if (!current) {
    return current.error();
  }
  if (current.value().version == 0) {
    return std::optional<PresetRecord>();
  }
  return std::optional<PresetRecord>(std::move(current.value().record));
}

Result<uint64_t> PresetStore::Use(const std::string& name, const std::string& author,
                                  const UsePreconditions& conditions) {
  Result<NamedPreset> named = Show(name);
  if (!named) {
    return named.error();
  }
  if (conditions.version && *conditions.version != named.value().version) {
    return NotRun(ResultCode::kPresetConflict, "not changed: preset \"" + name + "\" has version " +
                                                   std::to_string(named.value().version));
  }
  const Result<Preset> preset = DecodePreset(named.value().document);
  if (!preset) {
    return preset.error();
  }
  const Result<CurrentEntry> base = ReadCurrent();
  if (!base) {
    return base.error();
  }
  const PresetRecord& record = base.value().record;
  if (conditions.revision && *conditions.revision != record.revision) {
    return Conflict(record.revision, record.author, record.name);
  }
  return SwapCurrent(base.value(), NextRecord(record, name, author, m_new_change_id(),
                                              std::move(named.value().document)));
}

Result<uint64_t> PresetStore::SwapCurrent(const CurrentEntry& base, const PresetRecord& next) {
  const Result<uint64_t> swapped =
      m_store->CompareAndSwap(kCurrentPresetKey, base.version, EncodePresetRecord(next), "");
  if (swapped) {
    return next.revision;
  }
  if (swapped.error().code == ResultCode::kKvConflict) {
    return ConflictWithCurrent(base);
  }
  if (swapped.error().code == ResultCode::kKvOutcomeUnknown) {
    return ResolveSwap(base, next.change_id);
  }
  return swapped.error();
}

// Returns a conflict that names the active revision. Retries the read, because the service may
// serve a stale value after it rejected the swap.
Error PresetStore::ConflictWithCurrent(const CurrentEntry& base) {
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    const Result<CurrentEntry> current = ReadCurrent();
    if (current && current.value().version > base.version) {
      const PresetRecord& record = current.value().record;
      return Conflict(record.revision, record.author, record.name);
    }
    m_sleep(kReadBackInterval);
  }
  return NotRun(ResultCode::kPresetConflict, "not changed: a revision above " +
                                                 std::to_string(base.record.revision) +
                                                 " is in force; it cannot be read now");
}

// Determines the outcome of a swap whose reply was lost. The outcome is final once the version of
// the key differs from `base`: either the record contains the change ID, or the swap can never take
// effect, because it expects the version of `base`.
Result<uint64_t> PresetStore::ResolveSwap(const CurrentEntry& base, const std::string& change_id) {
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    m_sleep(kReadBackInterval);
    const Result<CurrentEntry> current = ReadCurrent();
    if (!current || current.value().version <= base.version) {
      continue;  // The swap may still take effect, or the read is stale.
    }
    const PresetRecord& record = current.value().record;
    for (const PresetChange& change : record.recent_changes) {
      if (change.change_id == change_id) {
        return change.revision;
      }
    }
    if (record.revision > base.record.revision &&
        record.revision - base.record.revision < kRecentChanges) {
      return Conflict(record.revision, record.author, record.name);
    }
    break;  // The change may have been dropped from the recent changes.
  }
  return Unknown(ResultCode::kPresetOutcomeUnknown,
                 "the reply was lost and change " + change_id +
                     " is not visible; it may still take effect: check with preset status");
}

}  // namespace azuregw
