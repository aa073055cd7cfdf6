// Records of all known instances, their order of precedence and the hash ring.

#ifndef AZUREGW_SRC_MEMBERSHIP_MEMBER_TABLE_H_
#define AZUREGW_SRC_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

struct Member {
  std::string name;
  std::string address;
  std::string admin_address;
  std::string failure_domain;
  uint64_t incarnation = 0;  // 0: known from the list only.
  wire::MemberState state = wire::MemberState::Alive;
  bool leaving = false;  // Kept while the instance is suspect.
  bool listed = false;   // In the last list.
  uint64_t preset_revision = 0;
  TimePoint last_heard{};       // Of a heartbeat from the instance itself.
  TimePoint monitored_since{};  // Since when this instance is its monitor.
  TimePoint state_since{};      // When the state was learnt here.

  bool IsDead() const { return state == wire::MemberState::Dead; }
};

class MemberTable {
 public:
  // `self` is never dead.
  explicit MemberTable(Member self);

  Member* Find(const std::string& name);
  const Member* Find(const std::string& name) const;
  Member& Self() { return *m_self; }
  const Member& Self() const { return *m_self; }
  const std::map<std::string, Member>& All() const { return m_members; }
  // Adds an instance that the list names; false when it is known already.
  bool AddListed(const std::string& name, const std::string& address,
                 const std::string& admin_address, const std::string& failure_domain,
                 TimePoint now);
  // Applies an update about another instance; false when the record is at least as new.
  bool Merge(const wire::MemberUpdateT& update, TimePoint now);
  void SetListed(const std::string& name, bool listed) { m_members.at(name).listed = listed; }
  // Removes dead records that are not listed and older than `retention`.
  void ForgetDead(TimePoint now, Milliseconds retention);
  // To be called after an incarnation or state was changed through a pointer.
  void OnChanged() { m_changed = true; }

  wire::MemberUpdateT UpdateFor(const Member& member) const;
  // Over names and incarnations of all instances that are not dead.
  uint64_t Digest() const;
  // Names of the other instances that are not dead, in name order.
  const std::vector<std::string>& Others() const;
  // Next instances on the ring after this one, nearest first; and those before it.
  std::vector<std::string> Successors(size_t count) const;
  std::vector<std::string> Predecessors(size_t count) const;
  // Up to `count` different names of Others, without those in `except` (a subset of Others).
  std::vector<std::string> Sample(Random* random, size_t count,
                                  const std::vector<std::string>& except) const;

 private:
  void Rebuild() const;
  std::vector<std::string> Neighbours(size_t count, bool forward) const;

  std::map<std::string, Member> m_members;
  Member* const m_self;  // Into m_members.
  // Derived from m_members when m_changed is set.
  mutable bool m_changed = true;
  mutable std::vector<std::pair<uint64_t, std::string>> m_ring;  // By hash; nobody dead.
  mutable std::vector<std::string> m_others;
  mutable uint64_t m_digest = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_MEMBER_TABLE_H_
