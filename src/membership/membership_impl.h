// The state machine behind Membership.

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

class MembershipImpl final : public Membership {
 public:
  MembershipImpl(MembershipOptions options, std::unique_ptr<Random> random);

  OutgoingHeartbeats OnList(gsl::span<const ListedInstance> list, Instant at) override;
  OutgoingHeartbeats Tick(Instant at) override;
  OutgoingHeartbeats OnHeartbeat(const std::string& from, const wire::HeartbeatT& heartbeat,
                                 Instant at) override;
  OutgoingHeartbeats MarkUpstreamLeaving(const std::string& upstream, Instant at) override {
    return AfterMark(m_marks.MarkLeaving(upstream, at), upstream, at);
  }
  OutgoingHeartbeats ReturnUpstream(const std::string& upstream, Instant at) override {
    return AfterMark(m_marks.Return(upstream, at), upstream, at);
  }
  OutgoingHeartbeats OnUpstreamReport(const std::string& upstream, bool leaving,
                                      int64_t measured_wall_ms, Instant at) override {
    return AfterMark(m_marks.OnReport(upstream, leaving, measured_wall_ms, at), upstream, at);
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
  OutgoingHeartbeats AfterMark(bool changed, const std::string& upstream, Instant at);
  void Announce(UpdateKind kind, const std::string& name);
  // Forwards new updates when the interval since the last round has passed.
  void Forward(Instant at, OutgoingHeartbeats* sends);
  void CheckClock(TimePoint now);
  void StartRefresh(TimePoint now);
  void OnFullState(const std::string& from, TimePoint now);
  void ContinueRefresh(Instant at, OutgoingHeartbeats* sends);
  void SendHeartbeats(Instant at, OutgoingHeartbeats* sends);
  void SendToDead(Instant at, OutgoingHeartbeats* sends);
  void MergeUpdate(const wire::MemberUpdateT& update, bool full_state, TimePoint now);
  void Refute(uint64_t claimed_incarnation);
  // Returns true when the sender must be told what is believed of it.
  bool NoteSender(const std::string& from, const wire::HeartbeatT& heartbeat, TimePoint now);
  void CheckDigest(const wire::HeartbeatT& heartbeat, const Member& sender, Instant at,
                   OutgoingHeartbeats* sends);
  bool MaySendFullState(TimePoint now);

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
  TimePoint m_next_revive{};
  TimePoint m_next_forward{};
  bool m_refreshing = false;
  TimePoint m_refresh_since{};
  std::set<std::string> m_refresh_answers;  // Peers that sent a full state since then.
  TimePoint m_refresh_retry{};
  std::optional<TimePoint> m_digest_differs_since;
  TimePoint m_next_state_request{};
  TimePoint m_full_state_second{};
  size_t m_full_states = 0;  // Sent since m_full_state_second.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_MEMBERSHIP_IMPL_H_
