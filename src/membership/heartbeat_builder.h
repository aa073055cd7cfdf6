// Assembly of heartbeat messages from the member table and the leaving marks.

#ifndef AZUREGW_SRC_MEMBERSHIP_HEARTBEAT_BUILDER_H_
#define AZUREGW_SRC_MEMBERSHIP_HEARTBEAT_BUILDER_H_

#include <gsl/span>
#include <initializer_list>

#include "membership/member_table.h"
#include "membership/update_queue.h"
#include "membership/upstream_marks.h"

namespace azuregw {

// Builds the heartbeats that this instance sends. Every heartbeat carries the sender's incarnation,
// state, preset revision and digest; the functions differ in the updates they add.
class HeartbeatBuilder {
 public:
  HeartbeatBuilder(const MemberTable& table, const UpstreamMarks& marks)
      : m_table(table), m_marks(marks) {}

  // Hash over the contents of a full state; equal digests mean equal views.
  uint64_t Digest() const { return m_table.Digest() ^ m_marks.Digest(); }
  // Contains no updates.
  wire::HeartbeatT WithoutUpdates() const;
  // Contains one update per given member.
  wire::HeartbeatT WithMembers(std::initializer_list<const Member*> members) const;
  // Contains the current contents of the queued updates; skips names that were removed since.
  wire::HeartbeatT WithUpdates(gsl::span<const QueuedUpdate> updates) const;
  // Contains all members, dead ones included, and all marks.
  wire::HeartbeatT FullState() const;

 private:
  void AddMember(const Member& member, wire::HeartbeatT* heartbeat) const;

  const MemberTable& m_table;
  const UpstreamMarks& m_marks;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_HEARTBEAT_BUILDER_H_
