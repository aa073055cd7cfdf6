// The other instances, as the control thread sees them: who is live, which upstreams are leaving,
// and where a new preset is sent.

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

// All calls come from the control thread and must not block. Messages from other instances reach
// the control thread through ControlLoop::Post and ControlLoop::OnPresetFromPeer.
class PeerGroup {
 public:
  virtual ~PeerGroup() = default;

  // Called at least every 100 ms.
  virtual void Tick(TimePoint now) = 0;
  virtual void OnList(gsl::span<const ListedInstance> list, TimePoint now) = 0;
  virtual void MarkUpstreamLeaving(const std::string& upstream, TimePoint now) = 0;
  // An operator takes a leaving mark back.
  virtual void ReturnUpstream(const std::string& upstream, TimePoint now) = 0;
  virtual void OnUpstreamReport(const std::string& upstream, bool leaving, int64_t measured_wall_ms,
                                TimePoint now) = 0;
  // This instance starts to drain.
  virtual void AnnounceLeaving(TimePoint now) = 0;
  // A higher revision is in force in this instance.
  virtual void PublishPreset(const ActivePreset& version, TimePoint now) = 0;

  // Live instances, with this one, in name order.
  virtual std::vector<MemberView> Members() const = 0;
  virtual std::set<std::string> LeavingUpstreams() const = 0;
  // Whether this instance waits on the preset key for its failure domain.
  virtual bool IsWatcher() const = 0;
  // The view may be stale, after the start or a pause of the process.
  virtual bool IsRefreshing() const = 0;
  // Grows with every change of Members or LeavingUpstreams.
  virtual uint64_t Version() const = 0;
};

// A group that knows other instances only from the list and sends nothing: every instance watches.
std::unique_ptr<PeerGroup> MakeListPeerGroup(MemberView self);

}  // namespace azuregw

#endif  // AZUREGW_CONTROL_PEER_GROUP_H_
