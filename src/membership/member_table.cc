// Merge rules for member updates, and the hash ring.

#include "membership/member_table.h"

#include <algorithm>
#include <cassert>

#include "azuregw/base/rendezvous.h"

namespace azuregw {

MemberTable::MemberTable(Member self)
    : m_self(&m_members.emplace(self.name, std::move(self)).first->second) {
  assert(!m_self->IsDead());
}

Member* MemberTable::Find(const std::string& name) {
  const auto it = m_members.find(name);
  return it == m_members.end() ? nullptr : &it->second;
}

const Member* MemberTable::Find(const std::string& name) const {
  const auto it = m_members.find(name);
  return it == m_members.end() ? nullptr : &it->second;
}

bool MemberTable::AddListed(const std::string& name, const std::string& address,
                            const std::string& admin_address, const std::string& failure_domain,
                            TimePoint now) {
  if (m_members.count(name) > 0) {
    return false;
  }
  Member member;
  member.name = name;
  member.address = address;
  member.admin_address = admin_address;
  member.failure_domain = failure_domain;
  member.state_since = now;
  m_members.emplace(name, std::move(member));
  m_changed = true;
  return true;
}

bool MemberTable::Merge(const wire::MemberUpdateT& update, TimePoint now) {
  assert(update.name != m_self->name);
  const bool has_address = !update.address.empty();
  Member* member = Find(update.name);
  if (member == nullptr) {
    // The update is useless without an address; the instance sends a complete one later.
    if (!has_address || update.state == wire::MemberState::Dead) {
      return false;
    }
    member = &m_members[update.name];
    member->name = update.name;
  } else if (update.incarnation < member->incarnation ||
             (update.incarnation == member->incarnation && update.state <= member->state)) {
    member->preset_revision = std::max(member->preset_revision, update.preset_revision);
    return false;
  }
  if (has_address) {
    member->address = update.address;
    member->admin_address = update.admin_address;
    member->failure_domain = update.failure_domain;
  }
  if (update.state == wire::MemberState::Alive || update.state == wire::MemberState::Leaving) {
    member->leaving = update.state == wire::MemberState::Leaving;
    // Only the instance itself can have issued this update, so its timeout restarts.
    member->last_heard = std::max(member->last_heard, now);
  }
  member->incarnation = update.incarnation;
  member->state = update.state;
  member->state_since = now;
  member->preset_revision = std::max(member->preset_revision, update.preset_revision);
  m_changed = true;
  return true;
}

void MemberTable::ForgetDead(TimePoint now, Milliseconds retention) {
  for (auto it = m_members.begin(); it != m_members.end();) {
    const Member& member = it->second;
    const bool forget = member.IsDead() && !member.listed && now - member.state_since > retention;
    it = forget ? m_members.erase(it) : std::next(it);
  }
}

wire::MemberUpdateT MemberTable::UpdateFor(const Member& member) const {
  wire::MemberUpdateT update;
  update.name = member.name;
  update.incarnation = member.incarnation;
  update.state = member.state;
  update.preset_revision = member.preset_revision;
  if (!member.IsDead()) {
    update.address = member.address;
    update.admin_address = member.admin_address;
    update.failure_domain = member.failure_domain;
  }
  return update;
}

uint64_t MemberTable::Digest() const {
  UpdateRingAndDigest();
  return m_digest;
}

const std::vector<std::string>& MemberTable::Others() const {
  UpdateRingAndDigest();
  return m_others;
}

std::vector<std::string> MemberTable::Successors(size_t count) const {
  return Neighbours(count, true);
}

std::vector<std::string> MemberTable::Predecessors(size_t count) const {
  return Neighbours(count, false);
}

std::vector<std::string> MemberTable::Sample(Random* random, size_t count,
                                             const std::vector<std::string>& except) const {
  const std::vector<std::string>& others = Others();
  const size_t available = others.size() - std::min(others.size(), except.size());
  std::vector<std::string> chosen;
  while (chosen.size() < std::min(count, available)) {
    const std::string& name = others[random->Below(others.size())];
    const bool rejected = std::find(chosen.begin(), chosen.end(), name) != chosen.end() ||
                          std::find(except.begin(), except.end(), name) != except.end();
    if (!rejected) {
      chosen.push_back(name);
    }
  }
  return chosen;
}

void MemberTable::UpdateRingAndDigest() const {
  if (!m_changed) {
    return;
  }
  m_changed = false;
  m_ring.clear();
  m_others.clear();
  m_digest = 0;
  for (const auto& [name, member] : m_members) {
    if (member.IsDead()) {
      continue;
    }
    m_ring.emplace_back(StableHash(name), name);
    m_digest ^= StableHash(name, member.incarnation);
    if (&member != m_self) {
      m_others.push_back(name);
    }
  }
  std::sort(m_ring.begin(), m_ring.end());
}

std::vector<std::string> MemberTable::Neighbours(size_t count, bool forward) const {
  UpdateRingAndDigest();
  const auto self = std::make_pair(StableHash(m_self->name), m_self->name);
  const auto it = std::lower_bound(m_ring.begin(), m_ring.end(), self);
  assert(it != m_ring.end() && it->second == m_self->name);
  const size_t size = m_ring.size();
  const size_t position = static_cast<size_t>(it - m_ring.begin());
  std::vector<std::string> names;
  for (size_t step = 1; step < size && names.size() < count; ++step) {
    const size_t index = forward ? position + step : position + size - step;
    names.push_back(m_ring[index % size].second);
  }
  return names;
}

}  // namespace azuregw
