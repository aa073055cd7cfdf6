// The list of upstreams on its way from the instance that reads it to the others: the changes since
// what was last sent, and the list put together again from them.
//
// Decision modules: no I/O. A list of 90 upstreams has about 13 KB and changes seldom; sending only
// changes keeps the traffic of the reading instance within a small machine's link.

#ifndef AZUREGW_SYNC_UPSTREAM_RELAY_H_
#define AZUREGW_SYNC_UPSTREAM_RELAY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/upstream_numbers.h"

namespace azuregw {

struct NumberedUpstream {
  UpstreamNumber number = 0;
  UpstreamRecord record;
};

struct UpstreamDelta {
  bool whole = false;  // Replaces everything sent before.
  std::vector<NumberedUpstream> changed;
  std::vector<UpstreamNumber> removed;
};

// The sender's side.
class UpstreamHistory {
 public:
  // Takes over the present list. Returns false when the numbers are used up.
  bool Update(const Fleet& fleet);
  // Increases with each change; 0 before the first list.
  uint64_t Version() const { return m_version; }
  // What changed after `version`; the whole list after 0.
  UpstreamDelta Since(uint64_t version) const;
  const UpstreamNumbers& Numbers() const { return m_numbers; }

 private:
  struct Item {
    UpstreamRecord record;
    bool present = true;
    uint64_t changed_at = 0;  // Version of its last change.
  };
  uint64_t m_version = 0;
  UpstreamNumbers m_numbers;
  std::map<UpstreamNumber, Item> m_items;  // Those that left stay, so that receivers learn of it.
};

// The receiver's side.
class RelayedUpstreams {
 public:
  // Returns whether the list has changed.
  bool Apply(const UpstreamDelta& delta);
  std::vector<UpstreamRecord> Records() const;
  const UpstreamNumbers& Numbers() const { return m_numbers; }

 private:
  UpstreamNumbers m_numbers;
  std::map<UpstreamNumber, UpstreamRecord> m_records;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_UPSTREAM_RELAY_H_
