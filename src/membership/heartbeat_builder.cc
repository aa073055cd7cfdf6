// Assembly of heartbeat messages.

#include "membership/heartbeat_builder.h"

#include <memory>
#include <string>

namespace azuregw {

wire::HeartbeatT HeartbeatBuilder::WithoutUpdates() const {
  const Member& self = m_table.Self();
  wire::HeartbeatT heartbeat;
  heartbeat.incarnation = self.incarnation;
  heartbeat.state = self.state;
  heartbeat.preset_revision = self.preset_revision;
  heartbeat.digest = Digest();
  return heartbeat;
}

wire::HeartbeatT HeartbeatBuilder::WithMembers(std::initializer_list<const Member*> members) const {
  wire::HeartbeatT heartbeat = WithoutUpdates();
  for (const Member* member : members) {
    AddMember(*member, &heartbeat);
  }
  return heartbeat;
}

wire::HeartbeatT HeartbeatBuilder::WithUpdates(gsl::span<const QueuedUpdate> updates) const {
  wire::HeartbeatT heartbeat = WithoutUpdates();
  for (const QueuedUpdate& queued : updates) {
    if (queued.kind == UpdateKind::kMember) {
      const Member* member = m_table.Find(queued.name);
      if (member != nullptr) {
        AddMember(*member, &heartbeat);
      }
    } else if (const auto update = m_marks.UpdateFor(queued.name)) {
      heartbeat.upstreams.push_back(std::make_unique<wire::UpstreamUpdateT>(*update));
    }
  }
  return heartbeat;
}

wire::HeartbeatT HeartbeatBuilder::FullState() const {
  wire::HeartbeatT heartbeat = WithoutUpdates();
  heartbeat.full_state = true;
  for (const auto& [name, member] : m_table.All()) {
    AddMember(member, &heartbeat);
  }
  for (const std::string& name : m_marks.Names()) {
    heartbeat.upstreams.push_back(
        std::make_unique<wire::UpstreamUpdateT>(*m_marks.UpdateFor(name)));
  }
  return heartbeat;
}

void HeartbeatBuilder::AddMember(const Member& member, wire::HeartbeatT* heartbeat) const {
  heartbeat->members.push_back(std::make_unique<wire::MemberUpdateT>(m_table.UpdateFor(member)));
}

}  // namespace azuregw
