// The immutable view of control state that traffic threads read, one per request.
//
// The control thread builds a Snapshot after each change and publishes it; a request keeps the one
// it was admitted with until it ends.

#ifndef AZUREGW_CONTROL_SNAPSHOT_H_
#define AZUREGW_CONTROL_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

struct MemberView {
  std::string name;
  std::string peer_address;
  std::string admin_address;
  std::string failure_domain;
  uint64_t preset_revision = 0;
  bool leaving = false;
};

struct Snapshot {
  std::shared_ptr<const Preset> preset;  // Null until a preset is known.
  uint64_t preset_revision = 0;          // Revision of `preset`; never decreases between snapshots.
  uint64_t topology_revision =
      0;  // Increases when `preset`, `leaving_upstreams` or the subset changes.
  std::set<std::string> leaving_upstreams;  // Names that must receive no new work.
  std::vector<MemberView> members;          // Live instances, with this one, in name order.
  std::string self;                         // Name of this instance.
  std::string failure_domain;               // Of this instance.
  bool draining = false;                    // This instance is shutting down.
  bool refreshing = false;  // The process was paused and reads its state again; starts no new work.
};

class SnapshotSource {
 public:
  virtual ~SnapshotSource() = default;
  // Never null. Thread-safe and wait-free for readers apart from one atomic load.
  virtual std::shared_ptr<const Snapshot> Current() const = 0;
  // Whether the process may have been paused, so that the current snapshot may be outdated. New
  // work waits until this is false again.
  virtual bool IsStale(TimePoint /*now*/) const { return false; }
};

// Notices from traffic to the control thread. Thread-safe; calls never block.
class UpstreamStateListener {
 public:
  virtual ~UpstreamStateListener() = default;
  // An upstream answered that it is leaving.
  virtual void OnUpstreamLeaving(const std::string& upstream) = 0;
  // An upstream's load report, measured at `measured_wall_ms`, says whether it is leaving.
  virtual void OnUpstreamReport(const std::string& /*upstream*/, bool /*leaving*/,
                                int64_t /*measured_wall_ms*/) {}
};

}  // namespace azuregw

#endif  // AZUREGW_CONTROL_SNAPSHOT_H_
