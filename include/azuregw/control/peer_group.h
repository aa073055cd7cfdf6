// Interface between the control thread and the other instances: live members, leaving upstreams and
// distribution of presets.

#ifndef AZUREGW_CONTROL_PEER_GROUP_H_
#define AZUREGW_CONTROL_PEER_GROUP_H_

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/discovery/instance_list.h"
#include "azuregw/preset/preset_tracker.h"

namespace azuregw {

// Provides the members and the leaving upstreams, and informs the other instances of changes. All
// methods are called on the control thread and must not block. Messages from other instances reach
// the control thread through ControlLoop::Post and ControlLoop::OnPresetFromPeer.
class PeerGroup {
 public:
  virtual ~PeerGroup() = default;

  // Performs periodic work; called at least every 100 ms.
  virtual void Tick(TimePoint now) = 0;
  // Applies a newly read instance list.
  virtual void OnList(gsl::span<const ListedInstance> list, TimePoint now) = 0;
  // Marks an upstream as leaving after it refused work for that reason.
  virtual void MarkUpstreamLeaving(const std::string& upstream, TimePoint now) = 0;
  // Clears the leaving mark of an upstream on request of an operator.
  virtual void ReturnUpstream(const std::string& upstream, TimePoint now) = 0;
  // Applies the leaving flag of an upstream's load report, measured at `measured_wall_ms` (wall
  // clock).
  virtual void OnUpstreamReport(const std::string& upstream, bool leaving, int64_t measured_wall_ms,
                                TimePoint now) = 0;
  // Announces that this instance is draining.
  virtual void AnnounceLeaving(TimePoint now) = 0;
  // Distributes a preset version that became active in this instance.
  virtual void PublishPreset(const ActivePreset& version, TimePoint now) = 0;

  // Returns the live instances, including this one, sorted by name.
  virtual std::vector<MemberView> Members() const = 0;
  // Returns the names of the upstreams that must receive no new work.
  virtual std::set<std::string> LeavingUpstreams() const = 0;
  // Returns whether this instance watches the preset key on behalf of its failure domain.
  virtual bool IsWatcher() const = 0;
  // Returns whether the view may be stale after the start or a pause of the process.
  virtual bool IsRefreshing() const = 0;
  // Returns a number that increases with every change of Members or LeavingUpstreams.
  virtual uint64_t Version() const = 0;
};

// Creates a group that knows other instances only from the instance list and sends no messages.
// Every instance is a watcher.
std::unique_ptr<PeerGroup> MakeListPeerGroup(MemberView self);

}  // namespace azuregw

#endif  // AZUREGW_CONTROL_PEER_GROUP_H_
