// State transitions, readiness and snapshot construction.

#include "control/control_state.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

Readiness MakeNotReady(ResultCode code, std::string message) {
  return Readiness{false, code, std::move(message)};
}

bool SameMember(const MemberView& a, const MemberView& b) {
  return a.name == b.name && a.peer_address == b.peer_address &&
         a.admin_address == b.admin_address && a.failure_domain == b.failure_domain &&
         a.preset_revision == b.preset_revision && a.leaving == b.leaving;
}

bool SameMembers(const std::vector<MemberView>& a, const std::vector<MemberView>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameMember);
}

}  // namespace

ControlState::ControlState(ControlStateOptions options) : m_options(std::move(options)) {}

bool ControlState::OnTick(TimePoint now) {
  const bool paused = m_ticked && now - m_last_tick > m_options.pause_limit;
  m_last_tick = now;
  m_ticked = true;
  if (!paused || !m_options.refresh_after_pause) {
    return false;
  }
  ++m_refresh_number;
  m_preset_pending = true;
  m_list_pending = true;
  return true;
}

PresetTracker::OfferResult ControlState::OnPreset(uint64_t revision, std::string_view document) {
  return m_tracker.OfferDocument(revision, document);
}

void ControlState::OnPresetRead(uint64_t number) {
  if (number == m_refresh_number) {
    m_preset_pending = false;
  }
}

void ControlState::OnListRead(uint64_t number) {
  if (number == m_refresh_number) {
    m_list_pending = false;
  }
}

Readiness ControlState::CurrentReadiness(bool peers_refreshing) const {
  if (m_draining) {
    return MakeNotReady(ResultCode::kDraining, "this instance is shutting down");
  }
  if (m_tracker.Current().revision == 0) {
    return MakeNotReady(ResultCode::kNoPreset, "no preset is known yet");
  }
  if (!m_component_problem.empty()) {
    return MakeNotReady(ResultCode::kComponentFailed, m_component_problem);
  }
  if (IsRefreshing() || peers_refreshing) {
    return MakeNotReady(ResultCode::kNotReady,
                        "state refresh in progress after start or process pause");
  }
  return Readiness{true, ResultCode::kOk, "ready"};
}

std::shared_ptr<const Snapshot> ControlState::NextSnapshot(const Snapshot* previous,
                                                           const PeerGroup& peers) const {
  auto next = std::make_shared<Snapshot>();
  next->preset = m_tracker.Current().preset;
  next->preset_revision = m_tracker.Current().revision;
  next->leaving_upstreams = peers.LeavingUpstreams();
  next->members = peers.Members();
  next->self = m_options.self;
  next->failure_domain = m_options.failure_domain;
  next->draining = m_draining;
  next->refreshing = IsRefreshing() || peers.IsRefreshing();
  if (previous == nullptr) {
    next->topology_revision = 1;
    return next;
  }
  assert(next->preset_revision >= previous->preset_revision);
  const bool same_topology =
      next->preset == previous->preset && next->leaving_upstreams == previous->leaving_upstreams;
  next->topology_revision = previous->topology_revision + (same_topology ? 0 : 1);
  const bool same = same_topology && next->draining == previous->draining &&
                    next->refreshing == previous->refreshing &&
                    SameMembers(next->members, previous->members);
  return same ? nullptr : std::move(next);
}

}  // namespace azuregw
