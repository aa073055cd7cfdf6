// Gossip-based membership: one instance's view of the live instances and the leaving upstreams. No
// I/O.
//
// The view starts from the platform's instance list and is updated by heartbeats. Every heartbeat
// interval, an instance sends one heartbeat to each of its successors on a hash ring and to one
// random peer; the successors of an instance are its monitors. Heartbeats carry updates about
// instances and upstreams, at most `max_updates` each. A new update is also forwarded at once to
// random peers for a few rounds, because leaving marks must be known everywhere within 2 s.
//
// Conflicting updates about an instance: the higher incarnation wins; with equal incarnations, dead
// wins over suspect, suspect over leaving, and leaving over alive. Only an instance itself raises
// its incarnation. Conflicting updates about an upstream: the higher version wins, and leaving wins
// a tie.

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

// Identity of this instance and protocol parameters.
struct MembershipOptions {
  std::string name;
  std::string address;        // Peer address, "IP:port".
  std::string admin_address;  // "IP:port".
  std::string failure_domain;
  // Must exceed that of every earlier process with this name; the Unix time in ms at the start.
  uint64_t incarnation = 1;
  Milliseconds heartbeat_interval{1000};
  Milliseconds suspect_after{3000};    // Time without heartbeats from a monitored instance.
  Milliseconds dead_after{6000};       // Time without heartbeats from a monitored instance.
  size_t ring_successors = 3;          // Monitors per instance.
  size_t random_peers = 1;             // Further heartbeat targets per interval.
  size_t max_updates = 8;              // Updates per heartbeat.
  Milliseconds forward_interval{250};  // Minimum time between forwarding rounds.
  size_t forward_rounds = 3;           // Rounds per update; 0 disables forwarding.
  size_t forward_fanout = 4;           // Random peers per forwarding round.
  // A longer gap between two calls means that the process was paused.
  Milliseconds clock_jump{2000};
  bool refresh_after_clock_jump = true;  // False only in tests that show the need for the refresh.
  bool marks_override_list = true;       // False only in tests that show the need for the rule.
};

// Readings of the monotonic clock and the wall clock at the same moment.
struct Instant {
  TimePoint now;
  int64_t wall_ms = 0;  // Unix time in ms.
};

// Heartbeat with its destination.
struct OutgoingHeartbeat {
  std::string address;  // Peer address, "IP:port".
  wire::HeartbeatT heartbeat;
};
using OutgoingHeartbeats = std::vector<OutgoingHeartbeat>;

// Failure detector and dissemination protocol of one instance. The owner feeds in instance lists,
// received heartbeats and the time, and sends all returned heartbeats at once. Not thread-safe.
class Membership {
 public:
  virtual ~Membership() = default;

  // Applies a fetched instance list. Adds unknown instances; never returns a dead one and never
  // removes a live one.
  virtual OutgoingHeartbeats OnList(gsl::span<const ListedInstance> list, Instant at) = 0;
  // Runs the timers; must be called at least every 100 ms.
  virtual OutgoingHeartbeats Tick(Instant at) = 0;
  // Applies a received heartbeat; `from` is the authenticated name of the sender.
  virtual OutgoingHeartbeats OnHeartbeat(const std::string& from, const wire::HeartbeatT& heartbeat,
                                         Instant at) = 0;

  // Marks an upstream that reported that it is leaving, or that an operator removes.
  virtual OutgoingHeartbeats MarkUpstreamLeaving(const std::string& upstream, Instant at) = 0;
  // Clears the mark on behalf of an operator. Two other kinds of evidence clear a mark:
  // - the upstream's own load report, measured more than 5 s after the mark, says that it is not
  //   leaving (OnUpstreamReport);
  // - the list has shown it as leaving or absent since the mark, and then as live for 10 s
  // (OnList). A list entry that has been live since before the mark is no evidence, because the
  // list lags.
  virtual OutgoingHeartbeats ReturnUpstream(const std::string& upstream, Instant at) = 0;
  // Applies a load report of the upstream; `measured_wall_ms` is the Unix time of its measurement.
  virtual OutgoingHeartbeats OnUpstreamReport(const std::string& upstream, bool leaving,
                                              int64_t measured_wall_ms, Instant at) = 0;

  // Marks this instance as leaving and announces it to the others.
  virtual OutgoingHeartbeats SetLeaving(Instant at) = 0;
  // Sets the preset revision that heartbeats report; lower values are ignored.
  virtual void SetPresetRevision(uint64_t revision) = 0;

  // Returns all instances that are not dead, in name order. Includes suspect instances and this
  // one.
  virtual std::vector<MemberView> LiveMembers() const = 0;
  virtual std::set<std::string> LeavingUpstreams() const = 0;
  // Returns whether this instance watches the preset key for its failure domain.
  virtual bool IsWatcher() const = 0;
  // Returns the name of the failure domain's watcher; empty if the domain has no live instance.
  virtual std::string WatcherOf(const std::string& failure_domain) const = 0;
  // Returns the peer address of an instance; empty if the instance is unknown or dead.
  virtual std::string AddressOf(const std::string& name) const = 0;
  // Returns whether the view may be stale: true from the start or a clock jump until two peers have
  // sent their full state, or fewer if a timeout passes first. Meanwhile, no instance becomes
  // suspect or dead by a local timeout.
  virtual bool IsRefreshing() const = 0;
  // Number of clock jumps detected; the owner refreshes the preset and leases when it increases.
  virtual uint64_t ClockJumps() const = 0;
  // Increases with every change of LiveMembers() or LeavingUpstreams().
  virtual uint64_t Version() const = 0;
};

std::unique_ptr<Membership> MakeMembership(MembershipOptions options,
                                           std::unique_ptr<Random> random);

}  // namespace azuregw

#endif  // AZUREGW_MEMBERSHIP_MEMBERSHIP_H_
