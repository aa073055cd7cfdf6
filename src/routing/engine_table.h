// Table of engine records by upstream name.

#ifndef SRC_ROUTING_ENGINE_TABLE_H_
#define SRC_ROUTING_ENGINE_TABLE_H_

#include <cstdint>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>

#include "azuregw/routing/chain_planner.h"

namespace azuregw {

// Owns the runtime state of the engines, which outlives single topologies. Thread-safe.
class EngineTable {
 public:
  // Returns the record of the engine, or null if it is unknown.
  std::shared_ptr<EngineRecord> Find(const std::string& name) const;

  // Returns the record of the engine; creates it if it is missing and sets `created` accordingly.
  std::shared_ptr<EngineRecord> FindOrCreate(const std::string& name, bool* created);

  // Removes the records of engines that are not in `preset` and have no local sequences in flight.
  void RetainOnly(const Preset& preset);

 private:
  mutable std::shared_mutex m_mutex;
  std::unordered_map<std::string, std::shared_ptr<EngineRecord>> m_records;  // By upstream name.
  uint32_t m_next_id = 1;  // ID of the next new record.
};

}  // namespace azuregw

#endif  // SRC_ROUTING_ENGINE_TABLE_H_
