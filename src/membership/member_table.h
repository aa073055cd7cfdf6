// Table of all known instances, with the hash ring that determines who monitors whom.

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

// State of one instance as known here.
struct Member {
  std::string name;
  std::string address;        // Peer address, "IP:port".
  std::string admin_address;  // Admin address, "IP:port".
  std::string failure_domain;
  uint64_t incarnation = 0;  // 0 if the instance is known only from the instance list.
  wire::MemberState state = wire::MemberState::Alive;
  bool leaving = false;  // True if it announced that it is leaving; kept while it is suspect.
  bool listed = false;   // True if the latest instance list contains it.
  uint64_t preset_revision = 0;
  TimePoint last_heard{};       // Last time at which there was evidence that it is running.
  TimePoint monitored_since{};  // Start of its monitoring here, or last restart of its timeout.
  TimePoint state_since{};      // Time at which this instance learned `state`.

  bool IsDead() const { return state == wire::MemberState::Dead; }
};

// Holds one entry per known instance, including this one, and merges updates from other instances.
// The higher incarnation wins; with equal incarnations, the later value of wire::MemberState wins.
// Not thread-safe.
class MemberTable {
 public:
  // `self` must not be dead, now or later.
  explicit MemberTable(Member self);

  // Returns null if the name is unknown. Call OnChanged after writing `incarnation` or `state`.
  Member* Find(const std::string& name);
  const Member* Find(const std::string& name) const;
  Member& Self() { return *m_self; }
  const Member& Self() const { return *m_self; }
  const std::map<std::string, Member>& All() const { return m_members; }
  // Adds an instance from the instance list; returns false if it is already known.
  bool AddListed(const std::string& name, const std::string& address,
                 const std::string& admin_address, const std::string& failure_domain,
                 TimePoint now);
  // Applies an update about another instance; returns false if the entry is at least as new.
  bool Merge(const wire::MemberUpdateT& update, TimePoint now);
  void SetListed(const std::string& name, bool listed) { m_members.at(name).listed = listed; }
  // Removes instances that are not listed and have been dead for longer than `retention`.
  void ForgetDead(TimePoint now, Milliseconds retention);
  // Must be called after a change of `incarnation` or `state` through a pointer.
  void OnChanged() { m_changed = true; }

  wire::MemberUpdateT UpdateFor(const Member& member) const;
  // Returns a hash over the names and incarnations of all instances that are not dead.
  uint64_t Digest() const;
  // Returns the names of the other instances that are not dead, in name order.
  const std::vector<std::string>& Others() const;
  // Return the instances after and before this one on the ring, nearest first.
  std::vector<std::string> Successors(size_t count) const;
  std::vector<std::string> Predecessors(size_t count) const;
  // Returns up to `count` distinct random names from Others() without `except`, which must be a
  // subset of Others().
  std::vector<std::string> Sample(Random* random, size_t count,
                                  const std::vector<std::string>& except) const;

 private:
  // Recomputes the ring, the names and the digest if m_changed is set.
  void UpdateRingAndDigest() const;
  std::vector<std::string> Neighbours(size_t count, bool forward) const;

  std::map<std::string, Member> m_members;
  Member* const m_self;           // Entry of this instance in m_members.
  mutable bool m_changed = true;  // True if the members below are out of date.
  mutable std::vector<std::pair<uint64_t, std::string>>
      m_ring;  // Hash and name of each instance that is not dead, sorted.
  mutable std::vector<std::string> m_others;  // Result of Others().
  mutable uint64_t m_digest = 0;              // Result of Digest().
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_MEMBER_TABLE_H_
