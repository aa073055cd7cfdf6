// Records of engines by name.

#ifndef SRC_ROUTING_ENGINE_TABLE_H_
#define SRC_ROUTING_ENGINE_TABLE_H_

#include <cstdint>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>

#include "azuregw/routing/chain_planner.h"

namespace azuregw {

// Thread-safe. Records of engines that no preset names any more are dropped by RetainOnly.
class EngineTable {
 public:
  // Null when the engine is unknown.
  std::shared_ptr<EngineRecord> Find(const std::string& name) const;

  // Creates the record when missing; `created` is set to whether it was.
  std::shared_ptr<EngineRecord> FindOrCreate(const std::string& name, bool* created);

  void RetainOnly(const Preset& preset);

 private:
  mutable std::shared_mutex m_mutex;
  std::unordered_map<std::string, std::shared_ptr<EngineRecord>> m_records;
  uint32_t m_next_id = 1;
};

}  // namespace azuregw

#endif  // SRC_ROUTING_ENGINE_TABLE_H_
