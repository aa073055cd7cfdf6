// Computes and applies upstream list deltas.

#include "azuregw/sync/upstream_relay.h"

#include <optional>
#include <string>

namespace azuregw {

bool UpstreamHistory::Update(const Fleet& fleet) {
  const uint64_t next = m_version + 1;
  bool changed = m_version == 0;
  // Retained entries are left out: each instance decides by its own evidence what it retains. A
  // leader that was cut off from a sound store would else bring back upstreams that have left.
  for (const auto& [id, upstream] : fleet.All()) {
    if (upstream.retained_until) {
      continue;
    }
    const std::optional<UpstreamNumber> number = m_numbers.Assign(id);
    if (!number) {
      return false;
    }
    Entry& entry = m_entries[*number];
    if (entry.changed_version == 0 || !entry.present || !(entry.record == upstream.record)) {
      entry = Entry{upstream.record, true, next};
      changed = true;
    }
  }
  for (auto& [number, entry] : m_entries) {
    const Upstream* const upstream = fleet.Find(entry.record.id);
    if (entry.present && (upstream == nullptr || upstream->retained_until)) {
      entry.present = false;
      entry.changed_version = next;
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
  delta.full = version == 0;
  for (const auto& [number, entry] : m_entries) {
    if (entry.changed_version <= version) {
      continue;
    }
    if (entry.present) {
      delta.changed.push_back({number, entry.record});
    } else if (!delta.full) {
      delta.removed.push_back(number);
    }
  }
  return delta;
}

bool RelayedUpstreams::Apply(const UpstreamDelta& delta) {
  if (delta.full) {
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
  return delta.full || !delta.changed.empty() || !delta.removed.empty();
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
