// Immutable snapshots of the control state for traffic threads.
//
// The control thread publishes a Snapshot after each change. A request uses the snapshot it was
// admitted with until it ends.

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

// A live instance as known to this instance.
struct MemberView {
  std::string name;
  std::string peer_address;
  std::string admin_address;
  std::string failure_domain;
  uint64_t preset_revision = 0;  // Active preset revision of the member; 0 if unknown.
  bool leaving = false;          // Whether the member is draining.
};

// Control state at one point in time.
struct Snapshot {
  std::shared_ptr<const Preset> preset;  // Active preset; null until one is known.
  uint64_t preset_revision = 0;          // Revision of `preset`; never decreases between snapshots.
  // Increases when `preset` or `leaving_upstreams` changes.
  uint64_t topology_revision = 0;
  std::set<std::string> leaving_upstreams;  // Names of upstreams that must receive no new work.
  std::vector<MemberView> members;          // Live instances, including this one, sorted by name.
  std::string self;                         // Name of this instance.
  std::string failure_domain;               // Failure domain of this instance.
  bool draining = false;                    // This instance is shutting down.
  // This instance is rereading its state after the start or a pause and starts no new work.
  bool refreshing = false;
};

// Provides the current snapshot to traffic threads.
class SnapshotSource {
 public:
  virtual ~SnapshotSource() = default;
  // Returns the current snapshot, never null. Thread-safe; costs readers one atomic load of a
  // shared pointer.
  virtual std::shared_ptr<const Snapshot> Current() const = 0;
  // Returns whether the current snapshot may be stale because the process may have been paused. New
  // work must wait until this is false.
  virtual bool IsStale(TimePoint /*now*/) const { return false; }
};

// Receives upstream state observed by traffic threads. Thread-safe; calls never block.
class UpstreamStateListener {
 public:
  virtual ~UpstreamStateListener() = default;
  // Called when an upstream answers that it is leaving.
  virtual void OnUpstreamLeaving(const std::string& upstream) = 0;
  // Called with the leaving flag of an upstream's load report, measured at `measured_wall_ms` (wall
  // clock).
  virtual void OnUpstreamReport(const std::string& /*upstream*/, bool /*leaving*/,
                                int64_t /*measured_wall_ms*/) {}
};

}  // namespace azuregw

#endif  // AZUREGW_CONTROL_SNAPSHOT_H_
