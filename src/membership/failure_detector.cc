// Timeouts after which a silent instance becomes suspect and then dead.

#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

// Applies to suspect instances that this one does not monitor: their monitors decide on them, and
// without a decision within this time they are marked dead here.
constexpr Milliseconds kMaxSuspectDuration{30000};

}  // namespace

void FailureDetector::UpdateMonitored(TimePoint now) {
  const std::vector<std::string> predecessors = m_table.Predecessors(m_options.ring_successors);
  std::set<std::string> monitored(predecessors.begin(), predecessors.end());
  for (const std::string& name : monitored) {
    if (m_monitored.count(name) == 0) {
      m_table.Find(name)->monitored_since = now;
    }
  }
  m_monitored = std::move(monitored);
}

void FailureDetector::ResetTimeouts(TimePoint now) {
  for (const std::string& name : m_monitored) {
    Member* member = m_table.Find(name);
    if (member != nullptr) {
      member->monitored_since = now;
    }
  }
}

std::vector<std::string> FailureDetector::UpdateStates(TimePoint now) {
  std::vector<std::string> changed;
  for (const std::string& name : m_monitored) {
    Member* member = m_table.Find(name);
    if (member != nullptr && UpdateState(member, now)) {
      changed.push_back(name);
    }
  }
  std::vector<std::string> overdue;
  for (const auto& [name, member] : m_table.All()) {
    if (member.state == wire::MemberState::Suspect &&
        now - member.state_since > kMaxSuspectDuration) {
      overdue.push_back(name);
    }
  }
  for (const std::string& name : overdue) {
    SetState(m_table.Find(name), wire::MemberState::Dead, now);
    changed.push_back(name);
  }
  return changed;
}

std::vector<std::string> FailureDetector::Suspects() const {
  std::vector<std::string> suspects;
  for (const std::string& name : m_monitored) {
    const Member* member = m_table.Find(name);
    if (member != nullptr && member->state == wire::MemberState::Suspect) {
      suspects.push_back(name);
    }
  }
  return suspects;
}

bool FailureDetector::UpdateState(Member* member, TimePoint now) {
  const TimePoint silent_since = std::max(member->last_heard, member->monitored_since);
  if (member->state == wire::MemberState::Suspect) {
    // A suspicion raised by another monitor leaves the instance the same time to refute it.
    const auto refutation_time = m_options.dead_after - m_options.suspect_after;
    if (now - silent_since < m_options.dead_after || now - member->state_since < refutation_time) {
      return false;
    }
    SetState(member, wire::MemberState::Dead, now);
    return true;
  }
  if (member->IsDead() || now - silent_since < m_options.suspect_after) {
    return false;
  }
  SetState(member, wire::MemberState::Suspect, now);
  return true;
}

void FailureDetector::SetState(Member* member, wire::MemberState state, TimePoint now) {
  member->state = state;
  member->state_since = now;
  m_table.OnChanged();
}

}  // namespace azuregw
