// Differences between lists of upstreams.

#include "azuregw/sync/upstream_relay.h"

#include <optional>
#include <string>

namespace azuregw {

bool UpstreamHistory::Update(const Fleet& fleet) {
  const uint64_t next = m_version + 1;
  bool changed = m_version == 0;
  for (const auto& [id, upstream] : fleet.All()) {
    const std::optional<UpstreamNumber> number = m_numbers.Assign(id);
    if (!number) {
      return false;
    }
    Item& item = m_items[*number];
    if (item.changed_at == 0 || !item.present || !(item.record == upstream.record)) {
      item = Item{upstream.record, true, next};
      changed = true;
    }
  }
  for (auto& [number, item] : m_items) {
    if (item.present && fleet.Find(item.record.id) == nullptr) {
      item.present = false;
      item.changed_at = next;
      changed = true;
    }
  }
  if (changed) {
    m_version = next;
  }
  return true;
}

UpstreamDelta UpstreamHistory::Since(uint64_t version) const {
  UpstreamDelta delta;
  delta.whole = version == 0;
  for (const auto& [number, item] : m_items) {
    if (item.changed_at <= version) {
      continue;
    }
    if (item.present) {
      delta.changed.push_back({number, item.record});
    } else if (!delta.whole) {
      delta.removed.push_back(number);
    }
  }
  return delta;
}

bool RelayedUpstreams::Apply(const UpstreamDelta& delta) {
  if (delta.whole) {
    m_records.clear();
    m_numbers.Clear();
  }
  for (const NumberedUpstream& upstream : delta.changed) {
    m_numbers.Learn(upstream.number, upstream.record.id);
    m_records[upstream.number] = upstream.record;
  }
  for (const UpstreamNumber number : delta.removed) {
    m_records.erase(number);
  }
  return delta.whole || !delta.changed.empty() || !delta.removed.empty();
}

std::vector<UpstreamRecord> RelayedUpstreams::Records() const {
  std::vector<UpstreamRecord> records;
  records.reserve(m_records.size());
  for (const auto& [number, record] : m_records) {
    records.push_back(record);
  }
  return records;
}

}  // namespace azuregw
