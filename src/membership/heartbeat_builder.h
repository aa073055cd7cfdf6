// Builds heartbeats from the records.

#ifndef AZUREGW_SRC_MEMBERSHIP_HEARTBEAT_BUILDER_H_
#define AZUREGW_SRC_MEMBERSHIP_HEARTBEAT_BUILDER_H_

#include <gsl/span>
#include <initializer_list>

#include "membership/member_table.h"
#include "membership/update_queue.h"
#include "membership/upstream_marks.h"

namespace azuregw {

class HeartbeatBuilder {
 public:
  HeartbeatBuilder(const MemberTable& table, const UpstreamMarks& marks)
      : m_table(table), m_marks(marks) {}

  // Over everything that a full state contains.
  uint64_t Digest() const { return m_table.Digest() ^ m_marks.Digest(); }
  // The sender's own state without updates.
  wire::HeartbeatT Bare() const;
  // With updates about the given instances.
  wire::HeartbeatT About(std::initializer_list<const Member*> members) const;
  wire::HeartbeatT WithUpdates(gsl::span<const QueuedUpdate> updates) const;
  wire::HeartbeatT FullState() const;

 private:
  void AddMember(const Member& member, wire::HeartbeatT* heartbeat) const;

  const MemberTable& m_table;
  const UpstreamMarks& m_marks;
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_HEARTBEAT_BUILDER_H_
