// Heartbeats, dissemination of updates, refutation and anti-entropy.

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

#include "azuregw/base/rendezvous.h"
#include "membership/membership_impl.h"

namespace azuregw {
namespace {

// Time for which a dead instance that is not listed stays in the table.
constexpr Milliseconds kDeadRetention{600000};
// Interval of heartbeats to dead instances that are still listed, so that the two sides of a healed
// partition discover each other.
constexpr Milliseconds kDeadProbeInterval{10000};
// Digests differ for a few seconds after each change; only a longer mismatch causes a state
// request.
constexpr Milliseconds kMinDigestMismatch{5000};
constexpr Milliseconds kStateRequestInterval{30000};
constexpr Milliseconds kRefreshRetryInterval{1000};
// A refresh without replies ends after this time, because there may be no other instance.
constexpr Milliseconds kMaxRefreshDuration{6000};
constexpr size_t kRefreshPeers = 3;  // Peers asked per request round.
constexpr size_t kRequiredRefreshReplies = 2;
constexpr Milliseconds kMaxSecondReplyWait{1500};
constexpr size_t kMaxFullStatesPerSecond = 5;
// Sends per binary logarithm of the member count, for updates that take an instance or upstream out
// of service or return it.
constexpr size_t kUrgentSendsPerLog = 2;
// Sends of any other update. A simultaneous start of 600 instances queues 600 such updates, and an
// instance sends 32 per second. Full states reach the few instances that miss an update.
constexpr size_t kRoutineSends = 5;

size_t UrgentSends(size_t members) {
  size_t log = 1;
  while ((size_t{1} << log) < members + 1) {
    ++log;
  }
  return kUrgentSendsPerLog * log;
}

Member SelfMember(const MembershipOptions& options) {
  Member self;
  self.name = options.name;
  self.address = options.address;
  self.admin_address = options.admin_address;
  self.failure_domain = options.failure_domain;
  self.incarnation = options.incarnation;
  return self;
}

}  // namespace

MembershipImpl::MembershipImpl(MembershipOptions options, std::unique_ptr<Random> random)
    : m_options(std::move(options)),
      m_random(std::move(random)),
      m_table(SelfMember(m_options)),
      m_marks(m_options.marks_override_list),
      m_builder(m_table, m_marks),
      m_detector(m_options, &m_table) {
  assert(m_options.incarnation > 0);
  Announce(UpdateKind::kMember, m_options.name);
}

OutgoingHeartbeats MembershipImpl::OnList(gsl::span<const ListedInstance> list, Instant at) {
  DetectClockJump(at.now);
  OutgoingHeartbeats sends;
  std::set<std::string> instances;
  std::map<std::string, bool> upstreams;  // Leaving state by name.
  for (const ListedInstance& listed : list) {
    if (listed.role != ListedRole::kInstance) {
      upstreams[listed.name] = listed.leaving;
      continue;
    }
    instances.insert(listed.name);
    if (listed.name != m_options.name &&
        m_table.AddListed(listed.name, listed.address, listed.admin_address, listed.failure_domain,
                          at.now)) {
      ++m_version;
    }
  }
  for (const auto& [name, member] : m_table.All()) {
    m_table.SetListed(name, instances.count(name) > 0);
  }
  std::set<std::string> names = m_marks.Names();
  for (const auto& [name, leaving] : upstreams) {
    names.insert(name);
  }
  for (const std::string& name : names) {
    const auto it = upstreams.find(name);
    const auto listed_leaving =
        it == upstreams.end() ? std::nullopt : std::optional<bool>(it->second);
    if (m_marks.OnListed(name, listed_leaving, at)) {
      Announce(UpdateKind::kUpstream, name);
    }
  }
  Forward(at, &sends);
  return sends;
}

OutgoingHeartbeats MembershipImpl::Tick(Instant at) {
  DetectClockJump(at.now);
  OutgoingHeartbeats sends;
  m_detector.UpdateMonitored(at.now);
  ContinueRefresh(at, &sends);
  if (!m_refreshing) {
    for (const std::string& name : m_detector.UpdateStates(at.now)) {
      Announce(UpdateKind::kMember, name);
    }
  }
  if (at.now >= m_next_heartbeat) {
    m_next_heartbeat = at.now + m_options.heartbeat_interval;
    SendHeartbeats(at, &sends);
    m_table.ForgetDead(at.now, kDeadRetention);
    m_marks.ForgetOld(at.wall_ms);
  }
  if (at.now >= m_next_dead_probe) {
    m_next_dead_probe = at.now + kDeadProbeInterval;
    ProbeDeadMember(at, &sends);
  }
  Forward(at, &sends);
  return sends;
}

OutgoingHeartbeats MembershipImpl::OnHeartbeat(const std::string& from,
                                               const wire::HeartbeatT& heartbeat, Instant at) {
  OutgoingHeartbeats sends;
  if (from == m_options.name) {
    return sends;
  }
  DetectClockJump(at.now);
  for (const auto& update : heartbeat.members) {
    MergeUpdate(*update, heartbeat.full_state, at.now);
  }
  for (const auto& update : heartbeat.upstreams) {
    if (m_marks.Merge(*update, at)) {
      Announce(UpdateKind::kUpstream, update->name);
    }
  }
  if (heartbeat.full_state) {
    OnFullState(from, at.now);
  }
  const bool sender_outdated = UpdateSender(from, heartbeat, at.now);
  const Member* sender = m_table.Find(from);
  if (sender == nullptr) {
    return sends;
  }
  if (sender_outdated) {
    SendTo(from, m_builder.WithMembers({sender}), &sends);
  }
  if (heartbeat.want_state && TakeFullStateQuota(at.now)) {
    SendTo(from, m_builder.FullState(), &sends);
  }
  CheckDigest(heartbeat, *sender, at, &sends);
  Forward(at, &sends);
  return sends;
}

void MembershipImpl::OnFullState(const std::string& from, TimePoint now) {
  m_digest_differs_since.reset();
  m_refresh_replies.insert(from);
  // A single peer may itself have been partitioned, so a second reply is awaited for a while.
  const size_t required = std::min(kRequiredRefreshReplies, m_table.Others().size());
  if (m_refresh_replies.size() >= required || now - m_refresh_start > kMaxSecondReplyWait) {
    m_refreshing = false;
  }
}

OutgoingHeartbeats MembershipImpl::SetLeaving(Instant at) {
  OutgoingHeartbeats sends;
  Member& self = m_table.Self();
  if (!self.leaving) {
    self.leaving = true;
    self.state = wire::MemberState::Leaving;
    Announce(UpdateKind::kMember, m_options.name);
    Forward(at, &sends);
  }
  return sends;
}

void MembershipImpl::SetPresetRevision(uint64_t revision) {
  Member& self = m_table.Self();
  if (revision > self.preset_revision) {
    self.preset_revision = revision;
    ++m_version;
  }
}

std::vector<MemberView> MembershipImpl::LiveMembers() const {
  std::vector<MemberView> views;
  for (const auto& [name, member] : m_table.All()) {
    if (!member.IsDead()) {
      views.push_back(MemberView{name, member.address, member.admin_address, member.failure_domain,
                                 member.preset_revision, member.leaving});
    }
  }
  return views;
}

std::string MembershipImpl::WatcherOf(const std::string& failure_domain) const {
  std::vector<std::string> staying;
  std::vector<std::string> leaving;
  for (const auto& [name, member] : m_table.All()) {
    if (!member.IsDead() && member.failure_domain == failure_domain) {
      (member.leaving ? leaving : staying).push_back(name);
    }
  }
  const std::vector<std::string>& candidates = staying.empty() ? leaving : staying;
  if (candidates.empty()) {
    return "";
  }
  return candidates[RendezvousTop("watcher/" + failure_domain, candidates, 1)[0]];
}

std::string MembershipImpl::AddressOf(const std::string& name) const {
  const Member* member = m_table.Find(name);
  return member == nullptr || member->IsDead() ? "" : member->address;
}

OutgoingHeartbeats MembershipImpl::AnnounceMark(bool changed, const std::string& upstream,
                                                Instant at) {
  OutgoingHeartbeats sends;
  if (changed) {
    Announce(UpdateKind::kUpstream, upstream);
    Forward(at, &sends);
  }
  return sends;
}

void MembershipImpl::Announce(UpdateKind kind, const std::string& name) {
  ++m_version;
  m_queue.Add(kind, name, m_options.forward_rounds, UrgentSends(m_table.Others().size() + 1));
}

void MembershipImpl::Forward(Instant at, OutgoingHeartbeats* sends) {
  if (at.now < m_next_forward || !m_queue.HasForwards() || m_table.Others().empty()) {
    return;
  }
  m_next_forward = at.now + m_options.forward_interval;
  const std::vector<QueuedUpdate> updates =
      m_queue.TakeForwards(m_options.max_updates, m_options.forward_fanout);
  const wire::HeartbeatT heartbeat = m_builder.WithUpdates(updates);
  for (const std::string& peer : m_table.Sample(m_random.get(), m_options.forward_fanout, {})) {
    SendTo(peer, heartbeat, sends);
  }
}

void MembershipImpl::DetectClockJump(TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_last_call = now;
    // A random phase spreads the heartbeats of instances that start together.
    m_next_heartbeat = now + Milliseconds(m_random->Below(
                                 static_cast<uint64_t>(m_options.heartbeat_interval.count()) + 1));
    m_next_dead_probe = now + kDeadProbeInterval;
    StartRefresh(now);
    return;
  }
  if (now - m_last_call > m_options.clock_jump) {
    ++m_clock_jumps;
    if (m_options.refresh_after_clock_jump) {
      StartRefresh(now);
    }
  }
  m_last_call = std::max(m_last_call, now);
}

void MembershipImpl::StartRefresh(TimePoint now) {
  m_refreshing = true;
  m_refresh_start = now;
  m_refresh_replies.clear();
  m_next_refresh_request = now;
  // During the pause, this instance could not receive the heartbeats of the others.
  m_detector.ResetTimeouts(now);
}

void MembershipImpl::ContinueRefresh(Instant at, OutgoingHeartbeats* sends) {
  if (!m_refreshing || at.now < m_next_refresh_request) {
    return;
  }
  const bool answered =
      !m_refresh_replies.empty() && at.now - m_refresh_start > kMaxSecondReplyWait;
  if (answered || at.now - m_refresh_start > kMaxRefreshDuration) {
    m_refreshing = false;
    return;
  }
  m_next_refresh_request = at.now + kRefreshRetryInterval;
  for (const std::string& peer : m_table.Sample(m_random.get(), kRefreshPeers, {})) {
    wire::HeartbeatT heartbeat = m_builder.WithMembers({&m_table.Self()});
    heartbeat.want_state = true;
    SendTo(peer, std::move(heartbeat), sends);
  }
}

void MembershipImpl::SendHeartbeats(Instant at, OutgoingHeartbeats* sends) {
  std::vector<std::string> targets = m_table.Successors(m_options.ring_successors);
  for (const std::string& peer : m_table.Sample(m_random.get(), m_options.random_peers, targets)) {
    targets.push_back(peer);
  }
  for (const std::string& target : targets) {
    SendTo(target, m_builder.WithUpdates(m_queue.Take(m_options.max_updates)), sends);
  }
  for (const std::string& name : m_detector.Suspects()) {
    // Lets the suspect refute, and tells it about a monitor that it may not know.
    SendTo(name, m_builder.WithMembers({m_table.Find(name), &m_table.Self()}), sends);
  }
}

void MembershipImpl::ProbeDeadMember(Instant at, OutgoingHeartbeats* sends) {
  std::vector<const Member*> dead;
  for (const auto& [name, member] : m_table.All()) {
    if (member.IsDead() && member.listed) {
      dead.push_back(&member);
    }
  }
  if (dead.empty()) {
    return;
  }
  const Member* target = dead[m_random->Below(dead.size())];
  sends->push_back(
      OutgoingHeartbeat{target->address, m_builder.WithMembers({target, &m_table.Self()})});
}

void MembershipImpl::MergeUpdate(const wire::MemberUpdateT& update, bool full_state,
                                 TimePoint now) {
  if (update.name == m_options.name) {
    const Member& self = m_table.Self();
    const bool must_refute = update.state > self.state && update.incarnation == self.incarnation;
    if (must_refute || update.incarnation > self.incarnation) {
      Refute(update.incarnation);
    }
    return;
  }
  const Member* known = m_table.Find(update.name);
  // After a partition, each side considers the other side dead. A full state from the other side
  // must not remove members of this side, so they become suspect and can refute.
  if (full_state && known != nullptr && !known->IsDead() &&
      update.state == wire::MemberState::Dead && update.incarnation == known->incarnation &&
      known->incarnation > 0) {
    wire::MemberUpdateT suspicion = update;
    suspicion.state = wire::MemberState::Suspect;
    MergeUpdate(suspicion, false, now);
    return;
  }
  const bool was_healthy = known == nullptr || known->state < wire::MemberState::Suspect;
  if (!m_table.Merge(update, now)) {
    return;
  }
  ++m_version;
  // Updates from a full state are not forwarded; instances that lack them request a full state.
  if (!full_state) {
    if (was_healthy && update.state < wire::MemberState::Suspect) {
      m_queue.Add(UpdateKind::kMember, update.name, 0, kRoutineSends);
    } else {
      Announce(UpdateKind::kMember, update.name);
    }
  }
}

void MembershipImpl::Refute(uint64_t claimed_incarnation) {
  Member& self = m_table.Self();
  self.incarnation = claimed_incarnation + 1;
  m_table.OnChanged();
  Announce(UpdateKind::kMember, m_options.name);
}

bool MembershipImpl::UpdateSender(const std::string& from, const wire::HeartbeatT& heartbeat,
                                  TimePoint now) {
  Member* sender = m_table.Find(from);
  if (sender == nullptr) {
    return false;
  }
  if (heartbeat.incarnation > sender->incarnation) {
    wire::MemberUpdateT update = m_table.UpdateFor(*sender);
    update.incarnation = heartbeat.incarnation;
    update.state = heartbeat.state;
    if (m_table.Merge(update, now)) {
      Announce(UpdateKind::kMember, from);
    }
  }
  if (heartbeat.incarnation < sender->incarnation) {
    return true;
  }
  if (heartbeat.preset_revision > sender->preset_revision) {
    sender->preset_revision = heartbeat.preset_revision;
    ++m_version;
  }
  sender->last_heard = now;
  return sender->state > heartbeat.state;
}

void MembershipImpl::CheckDigest(const wire::HeartbeatT& heartbeat, const Member& sender,
                                 Instant at, OutgoingHeartbeats* sends) {
  if (heartbeat.digest == m_builder.Digest()) {
    m_digest_differs_since.reset();
    return;
  }
  if (!m_digest_differs_since) {
    m_digest_differs_since = at.now;
  }
  if (at.now - *m_digest_differs_since < kMinDigestMismatch || at.now < m_next_state_request) {
    return;
  }
  m_next_state_request = at.now + kStateRequestInterval;
  wire::HeartbeatT request = m_builder.WithMembers({&m_table.Self()});
  request.want_state = true;
  SendTo(sender.name, std::move(request), sends);
}

bool MembershipImpl::TakeFullStateQuota(TimePoint now) {
  if (now - m_full_state_window_start >= Milliseconds(1000)) {
    m_full_state_window_start = now;
    m_full_states_in_window = 0;
  }
  return ++m_full_states_in_window <= kMaxFullStatesPerSecond;
}

void MembershipImpl::SendTo(const std::string& name, wire::HeartbeatT heartbeat,
                            OutgoingHeartbeats* sends) const {
  sends->push_back(OutgoingHeartbeat{m_table.Find(name)->address, std::move(heartbeat)});
}

std::unique_ptr<Membership> MakeMembership(MembershipOptions options,
                                           std::unique_ptr<Random> random) {
  return std::make_unique<MembershipImpl>(std::move(options), std::move(random));
}

}  // namespace azuregw
