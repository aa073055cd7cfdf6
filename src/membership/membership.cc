// Heartbeats, suspicion and dissemination.

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

#include "azuregw/base/rendezvous.h"
#include "membership/membership_impl.h"

namespace azuregw {
namespace {

constexpr Milliseconds kDeadRetention{600000};
// Dead instances that the list still names are tried at this interval, so that two sides of a
// healed partition find each other.
constexpr Milliseconds kReviveInterval{10000};
// Digests differ for a few seconds after each change; only a lasting difference is repaired.
constexpr Milliseconds kDigestPatience{5000};
constexpr Milliseconds kStateRequestInterval{30000};
constexpr Milliseconds kRefreshRetry{1000};
// A refresh that nobody answers ends after this time; there may be no other instance.
constexpr Milliseconds kRefreshLimit{6000};
constexpr size_t kRefreshPeers = 3;
constexpr size_t kRefreshAnswers = 2;
constexpr Milliseconds kSecondAnswerLimit{1500};
constexpr size_t kMaxFullStatesPerSecond = 5;
// An update that takes an instance or upstream out of service, or brings it back, is sent this many
// times the logarithm of the number of members.
constexpr size_t kUrgentSendsPerLog = 2;
// Other news are sent this often: a common start of 600 instances queues 600 of them, and 32 leave
// per second. Full states carry them to the few instances that they do not reach.
constexpr size_t kQuietSends = 5;

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
  CheckClock(at.now);
  OutgoingHeartbeats sends;
  std::set<std::string> instances;
  std::map<std::string, bool> upstreams;  // Name -> leaving.
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
    const auto shown = it == upstreams.end() ? std::nullopt : std::optional<bool>(it->second);
    if (m_marks.OnListed(name, shown, at)) {
      Announce(UpdateKind::kUpstream, name);
    }
  }
  Forward(at, &sends);
  return sends;
}

OutgoingHeartbeats MembershipImpl::Tick(Instant at) {
  CheckClock(at.now);
  OutgoingHeartbeats sends;
  m_detector.UpdateMonitored(at.now);
  ContinueRefresh(at, &sends);
  if (!m_refreshing) {
    for (const std::string& name : m_detector.Judge(at.now)) {
      Announce(UpdateKind::kMember, name);
    }
  }
  if (at.now >= m_next_heartbeat) {
    m_next_heartbeat = at.now + m_options.heartbeat_interval;
    SendHeartbeats(at, &sends);
    m_table.ForgetDead(at.now, kDeadRetention);
    m_marks.ForgetOld(at.wall_ms);
  }
  if (at.now >= m_next_revive) {
    m_next_revive = at.now + kReviveInterval;
    SendToDead(at, &sends);
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
  CheckClock(at.now);
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
  const bool contradicts = NoteSender(from, heartbeat, at.now);
  const Member* sender = m_table.Find(from);
  if (sender == nullptr) {
    return sends;
  }
  if (contradicts) {
    SendTo(from, m_builder.About({sender}), &sends);
  }
  if (heartbeat.want_state && MaySendFullState(at.now)) {
    SendTo(from, m_builder.FullState(), &sends);
  }
  CheckDigest(heartbeat, *sender, at, &sends);
  Forward(at, &sends);
  return sends;
}

void MembershipImpl::OnFullState(const std::string& from, TimePoint now) {
  m_digest_differs_since.reset();
  m_refresh_answers.insert(from);
  // One peer may itself have been cut off, so a second answer is awaited for a while.
  const size_t wanted = std::min(kRefreshAnswers, m_table.Others().size());
  if (m_refresh_answers.size() >= wanted || now - m_refresh_since > kSecondAnswerLimit) {
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

OutgoingHeartbeats MembershipImpl::AfterMark(bool changed, const std::string& upstream,
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

void MembershipImpl::CheckClock(TimePoint now) {
  if (!m_started) {
    m_started = true;
    m_last_call = now;
    // A random phase keeps the heartbeats of a fleet from bunching.
    m_next_heartbeat = now + Milliseconds(m_random->Below(
                                 static_cast<uint64_t>(m_options.heartbeat_interval.count()) + 1));
    m_next_revive = now + kReviveInterval;
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
  m_refresh_since = now;
  m_refresh_answers.clear();
  m_refresh_retry = now;
  // Silence during the pause is this instance's own.
  m_detector.Restart(now);
}

void MembershipImpl::ContinueRefresh(Instant at, OutgoingHeartbeats* sends) {
  if (!m_refreshing || at.now < m_refresh_retry) {
    return;
  }
  const bool answered = !m_refresh_answers.empty() && at.now - m_refresh_since > kSecondAnswerLimit;
  if (answered || at.now - m_refresh_since > kRefreshLimit) {
    m_refreshing = false;
    return;
  }
  m_refresh_retry = at.now + kRefreshRetry;
  for (const std::string& peer : m_table.Sample(m_random.get(), kRefreshPeers, {})) {
    wire::HeartbeatT heartbeat = m_builder.About({&m_table.Self()});
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
    // Gives the suspect the chance to answer, and to learn of a monitor that it did not know.
    SendTo(name, m_builder.About({m_table.Find(name), &m_table.Self()}), sends);
  }
}

void MembershipImpl::SendToDead(Instant at, OutgoingHeartbeats* sends) {
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
  sends->push_back(OutgoingHeartbeat{target->address, m_builder.About({target, &m_table.Self()})});
}

void MembershipImpl::MergeUpdate(const wire::MemberUpdateT& update, bool full_state,
                                 TimePoint now) {
  if (update.name == m_options.name) {
    const Member& self = m_table.Self();
    const bool against = update.state > self.state && update.incarnation == self.incarnation;
    if (against || update.incarnation > self.incarnation) {
      Refute(update.incarnation);
    }
    return;
  }
  const Member* known = m_table.Find(update.name);
  // After a partition, each side holds the other one dead. A full state from the other side must
  // not make this side drop its own members, so they become suspect and can refute.
  if (full_state && known != nullptr && !known->IsDead() &&
      update.state == wire::MemberState::Dead && update.incarnation == known->incarnation &&
      known->incarnation > 0) {
    wire::MemberUpdateT softened = update;
    softened.state = wire::MemberState::Suspect;
    MergeUpdate(softened, false, now);
    return;
  }
  const bool was_well = known == nullptr || known->state < wire::MemberState::Suspect;
  if (!m_table.Merge(update, now)) {
    return;
  }
  ++m_version;
  // What a full state holds is old news; others that lack it ask for a full state themselves.
  if (!full_state) {
    if (was_well && update.state < wire::MemberState::Suspect) {
      m_queue.Add(UpdateKind::kMember, update.name, 0, kQuietSends);
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

bool MembershipImpl::NoteSender(const std::string& from, const wire::HeartbeatT& heartbeat,
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
  if (at.now - *m_digest_differs_since < kDigestPatience || at.now < m_next_state_request) {
    return;
  }
  m_next_state_request = at.now + kStateRequestInterval;
  wire::HeartbeatT request = m_builder.About({&m_table.Self()});
  request.want_state = true;
  SendTo(sender.name, std::move(request), sends);
}

bool MembershipImpl::MaySendFullState(TimePoint now) {
  if (now - m_full_state_second >= Milliseconds(1000)) {
    m_full_state_second = now;
    m_full_states = 0;
  }
  return ++m_full_states <= kMaxFullStatesPerSecond;
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
