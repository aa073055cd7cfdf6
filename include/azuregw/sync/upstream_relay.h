// Delta encoding of the upstream list that the leader relays to followers. No I/O.
//
// A list of 90 upstreams takes about 13 KB and changes rarely. Sending only changes keeps the
// leader's traffic within the bandwidth of a small machine.

#ifndef AZUREGW_SYNC_UPSTREAM_RELAY_H_
#define AZUREGW_SYNC_UPSTREAM_RELAY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/upstream_numbers.h"

namespace azuregw {

// An upstream with its short ID on the wire.
struct NumberedUpstream {
  UpstreamNumber number = 0;
  UpstreamRecord record;
};

// Changes between two versions of the upstream list.
struct UpstreamDelta {
  bool full = false;  // `changed` is the complete list.
  std::vector<NumberedUpstream> changed;
  std::vector<UpstreamNumber> removed;
};

// Tracks changes of the upstream list on the leader. Records removed upstreams so that every
// follower can be told.
class UpstreamHistory {
 public:
  // Records the current upstreams of `fleet`. Returns false when no upstream number is left.
  bool Update(const Fleet& fleet);
  // Returns the version of the list. It increases with each change; 0 before the first Update().
  uint64_t Version() const { return m_version; }
  // Returns the changes after `version`, or the complete list if `version` is 0.
  UpstreamDelta Since(uint64_t version) const;
  const UpstreamNumbers& Numbers() const { return m_numbers; }

 private:
  struct Entry {
    UpstreamRecord record;
    bool present = true;
    uint64_t changed_version = 0;  // List version of the last change.
  };
  uint64_t m_version = 0;
  UpstreamNumbers m_numbers;
  std::map<UpstreamNumber, Entry> m_entries;  // Includes removed upstreams.
};

// Reassembles the upstream list on a follower.
class RelayedUpstreams {
 public:
  // Applies a delta. Returns whether it contained changes.
  bool Apply(const UpstreamDelta& delta);
  std::vector<UpstreamRecord> Records() const;
  const UpstreamNumbers& Numbers() const { return m_numbers; }

 private:
  UpstreamNumbers m_numbers;
  std::map<UpstreamNumber, UpstreamRecord> m_records;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_UPSTREAM_RELAY_H_
