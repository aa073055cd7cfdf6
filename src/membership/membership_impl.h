// Implementation of Membership as a deterministic state machine.

#ifndef AZUREGW_SRC_MEMBERSHIP_MEMBERSHIP_IMPL_H_
#define AZUREGW_SRC_MEMBERSHIP_MEMBERSHIP_IMPL_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "azuregw/membership/membership.h"
#include "membership/failure_detector.h"
#include "membership/heartbeat_builder.h"
#include "membership/member_table.h"
#include "membership/update_queue.h"
#include "membership/upstream_marks.h"

namespace azuregw {

// Combines the member table, the leaving marks, the failure detector and the update queue. Apart
// from `random`, the results depend on the calls and their times only.
class MembershipImpl final : public Membership {
 public:
  MembershipImpl(MembershipOptions options, std::unique_ptr<Random> random);

  OutgoingHeartbeats OnList(gsl::span<const ListedInstance> list, Instant at) override;
  OutgoingHeartbeats Tick(Instant at) override;
  OutgoingHeartbeats OnHeartbeat(const std::string& from, const wire::HeartbeatT& heartbeat,
                                 Instant at) override;
  OutgoingHeartbeats MarkUpstreamLeaving(const std::string& upstream, Instant at) override {
    return AnnounceMark(m_marks.MarkLeaving(upstream, at), upstream, at);
  }
  OutgoingHeartbeats ReturnUpstream(const std::string& upstream, Instant at) override {
    return AnnounceMark(m_marks.Return(upstream, at), upstream, at);
  }
  OutgoingHeartbeats OnUpstreamReport(const std::string& upstream, bool leaving,
                                      int64_t measured_wall_ms, Instant at) override {
    return AnnounceMark(m_marks.OnReport(upstream, leaving, measured_wall_ms, at), upstream, at);
  }
  OutgoingHeartbeats SetLeaving(Instant at) override;
  void SetPresetRevision(uint64_t revision) override;

  std::vector<MemberView> LiveMembers() const override;
  std::set<std::string> LeavingUpstreams() const override { return m_marks.Leaving(); }
  bool IsWatcher() const override { return WatcherOf(m_options.failure_domain) == m_options.name; }
  std::string WatcherOf(const std::string& failure_domain) const override;
  std::string AddressOf(const std::string& name) const override;
  bool IsRefreshing() const override { return m_refreshing; }
  uint64_t ClockJumps() const override { return m_clock_jumps; }
  uint64_t Version() const override { return m_version; }

 private:
  // Announces the mark of `upstream` if it changed.
  OutgoingHeartbeats AnnounceMark(bool changed, const std::string& upstream, Instant at);
  // Queues an urgent update, which is also forwarded outside the heartbeat interval.
  void Announce(UpdateKind kind, const std::string& name);
  // Forwards queued updates if `forward_interval` has passed since the last round.
  void Forward(Instant at, OutgoingHeartbeats* sends);
  // Starts a refresh on the first call and after a clock jump.
  void DetectClockJump(TimePoint now);
  void StartRefresh(TimePoint now);
  // Ends the refresh once enough peers have replied.
  void OnFullState(const std::string& from, TimePoint now);
  // Requests full states again, or ends the refresh on a timeout.
  void ContinueRefresh(Instant at, OutgoingHeartbeats* sends);
  void SendHeartbeats(Instant at, OutgoingHeartbeats* sends);
  // Sends a heartbeat to one random dead instance that is still listed.
  void ProbeDeadMember(Instant at, OutgoingHeartbeats* sends);
  void MergeUpdate(const wire::MemberUpdateT& update, bool full_state, TimePoint now);
  // Raises this instance's incarnation above the claimed one and announces it.
  void Refute(uint64_t claimed_incarnation);
  // Updates the sender's entry; returns true if the entry is still newer or worse than the sender's
  // own state, so that the sender must be told and can refute.
  bool UpdateSender(const std::string& from, const wire::HeartbeatT& heartbeat, TimePoint now);
  // Requests a full state from the sender if the digests have differed for too long.
  void CheckDigest(const wire::HeartbeatT& heartbeat, const Member& sender, Instant at,
                   OutgoingHeartbeats* sends);
  // Returns false if the limit of full states per second is reached.
  bool TakeFullStateQuota(TimePoint now);

  void SendTo(const std::string& name, wire::HeartbeatT heartbeat, OutgoingHeartbeats* sends) const;

  const MembershipOptions m_options;
  const std::unique_ptr<Random> m_random;
  MemberTable m_table;
  UpstreamMarks m_marks;
  UpdateQueue m_queue;
  HeartbeatBuilder m_builder;
  FailureDetector m_detector;
  uint64_t m_version = 1;
  uint64_t m_clock_jumps = 0;
  bool m_started = false;
  TimePoint m_last_call{};
  TimePoint m_next_heartbeat{};
  TimePoint m_next_dead_probe{};
  TimePoint m_next_forward{};
  bool m_refreshing = false;
  TimePoint m_refresh_start{};
  std::set<std::string> m_refresh_replies;  // Peers that sent a full state since m_refresh_start.
  TimePoint m_next_refresh_request{};
  std::optional<TimePoint> m_digest_differs_since;
  TimePoint m_next_state_request{};
  TimePoint m_full_state_window_start{};  // Start of a window of 1 s.
  size_t m_full_states_in_window = 0;     // Requests since m_full_state_window_start.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_MEMBERSHIP_IMPL_H_
