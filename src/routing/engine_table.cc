// Lookup, creation and removal of engine records.

#include "routing/engine_table.h"

#include <mutex>

namespace azuregw {

std::shared_ptr<EngineRecord> EngineTable::Find(const std::string& name) const {
  const std::shared_lock<std::shared_mutex> lock(m_mutex);
  const auto found = m_records.find(name);
  return found == m_records.end() ? nullptr : found->second;
}

std::shared_ptr<EngineRecord> EngineTable::FindOrCreate(const std::string& name, bool* created) {
  const std::unique_lock<std::shared_mutex> lock(m_mutex);
  std::shared_ptr<EngineRecord>& record = m_records[name];
  *created = record == nullptr;
  if (*created) {
    record = std::make_shared<EngineRecord>(m_next_id++);
  }
  return record;
}

void EngineTable::RetainOnly(const Preset& preset) {
  const std::unique_lock<std::shared_mutex> lock(m_mutex);
  for (auto entry = m_records.begin(); entry != m_records.end();) {
    const bool busy = entry->second->load.LocalInflight() > 0;
    if (!busy && preset.engines.count(entry->first) == 0) {
      entry = m_records.erase(entry);
    } else {
      ++entry;
    }
  }
}

}  // namespace azuregw
