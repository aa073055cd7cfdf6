// Which instances are live and which upstreams are leaving, as seen by one instance. No I/O.
//
// The view starts from the platform's list and is refined by heartbeats. Every heartbeat interval,
// an instance sends one heartbeat to its successors on a hash ring and to one random peer; the
// successors of an instance are its monitors. Updates about instances and upstreams ride on
// heartbeats (at most `max_updates` each). A new update is also forwarded at once to random peers
// for a few rounds, because leaving marks must be known everywhere within 2 s.
//
// For instances, the higher incarnation decides; with equal incarnations, dead precedes suspect,
// leaving and alive. Only an instance itself raises its incarnation. For upstreams, the higher
// version decides, and leaving wins a tie.

#ifndef AZUREGW_MEMBERSHIP_MEMBERSHIP_H_
#define AZUREGW_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <gsl/span>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/discovery/instance_list.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

struct MembershipOptions {
  std::string name;
  std::string address;  // Peer address, "IP:port".
  std::string admin_address;
  std::string failure_domain;
  // Above that of every earlier process with this name; the wall clock in ms at the start.
  uint64_t incarnation = 1;
  Milliseconds heartbeat_interval{1000};
  Milliseconds suspect_after{3000};  // Silence of a monitored instance.
  Milliseconds dead_after{6000};     // Silence of a monitored instance.
  size_t ring_successors = 3;
  size_t random_peers = 1;
  size_t max_updates = 8;
  Milliseconds forward_interval{250};  // Between two forwarding rounds.
  size_t forward_rounds = 3;           // Per update; 0 leaves updates to heartbeats alone.
  size_t forward_fanout = 4;
  // A gap between two calls above this means that the process was paused.
  Milliseconds clock_jump{2000};
  bool refresh_after_clock_jump = true;  // Off only in tests, to show what the refresh guards.
  bool marks_override_list = true;       // Off only in tests, likewise.
};

// A point on both clocks of the process.
struct Instant {
  TimePoint now;
  int64_t wall_ms = 0;
};

struct OutgoingHeartbeat {
  std::string address;
  wire::HeartbeatT heartbeat;
};
using OutgoingHeartbeats = std::vector<OutgoingHeartbeat>;

// Owned by one thread. Calls that return sends expect them to be sent at once.
class Membership {
 public:
  virtual ~Membership() = default;

  // A fetched list. Adds unknown instances; never revives a dead one and never removes a live one.
  virtual OutgoingHeartbeats OnList(gsl::span<const ListedInstance> list, Instant at) = 0;
  // To be called at least every 100 ms.
  virtual OutgoingHeartbeats Tick(Instant at) = 0;
  // `from` is the authenticated name of the sender.
  virtual OutgoingHeartbeats OnHeartbeat(const std::string& from, const wire::HeartbeatT& heartbeat,
                                         Instant at) = 0;

  // The upstream answered that it is leaving, or an operator says so.
  virtual OutgoingHeartbeats MarkUpstreamLeaving(const std::string& upstream, Instant at) = 0;
  // A leaving upstream gets back in by one of three kinds of evidence:
  // - an operator says so (ReturnUpstream);
  // - its own load report, measured more than 5 s after the mark, says that it is not leaving
  //   (OnUpstreamReport; `measured_wall_ms` is the time of measurement);
  // - the list has shown it as leaving or absent since the mark, and then as live for 10 s.
  // A list entry that has been live since before the mark is no evidence, because the list lags.
  virtual OutgoingHeartbeats ReturnUpstream(const std::string& upstream, Instant at) = 0;
  virtual OutgoingHeartbeats OnUpstreamReport(const std::string& upstream, bool leaving,
                                              int64_t measured_wall_ms, Instant at) = 0;

  // This instance starts to drain; announced to all.
  virtual OutgoingHeartbeats SetLeaving(Instant at) = 0;
  virtual void SetPresetRevision(uint64_t revision) = 0;

  // All instances that are not dead, with this one, in name order. Suspect instances are included.
  virtual std::vector<MemberView> LiveMembers() const = 0;
  virtual std::set<std::string> LeavingUpstreams() const = 0;
  // Whether this instance waits on the preset key for its failure domain.
  virtual bool IsWatcher() const = 0;
  // Name of the watcher of a failure domain; empty without a live member there.
  virtual std::string WatcherOf(const std::string& failure_domain) const = 0;
  // Peer address of an instance that is not dead; empty when unknown.
  virtual std::string AddressOf(const std::string& name) const = 0;
  // True from the start or a clock jump until two peers have sent their full state, or one when no
  // second answers, or none when there is nobody to answer. The view may be stale, and nobody is
  // judged, until then.
  virtual bool IsRefreshing() const = 0;
  // Clock jumps seen; the owner refreshes the preset and leases when it grows.
  virtual uint64_t ClockJumps() const = 0;
  // Grows with every change of LiveMembers or LeavingUpstreams.
  virtual uint64_t Version() const = 0;
};

std::unique_ptr<Membership> MakeMembership(MembershipOptions options,
                                           std::unique_ptr<Random> random);

}  // namespace azuregw

#endif  // AZUREGW_MEMBERSHIP_MEMBERSHIP_H_
