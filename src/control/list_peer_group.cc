// Peer group that uses the instance list only.

#include <algorithm>
#include <map>
#include <utility>

#include "azuregw/control/peer_group.h"

namespace azuregw {
namespace {

// Derives members and leaving upstreams from the instance list and local marks.
class ListPeerGroup final : public PeerGroup {
 public:
  explicit ListPeerGroup(MemberView self) : m_self(std::move(self)) {}

  void Tick(TimePoint /*now*/) override {}

  void OnList(gsl::span<const ListedInstance> list, TimePoint /*now*/) override {
    std::map<std::string, MemberView> others;
    std::set<std::string> leaving;
    for (const ListedInstance& entry : list) {
      if (entry.role != ListedRole::kInstance) {
        if (entry.leaving) {
          leaving.insert(entry.name);
        }
        continue;
      }
      if (entry.name == m_self.name) {
        continue;
      }
      MemberView member;
      member.name = entry.name;
      member.peer_address = entry.address;
      member.admin_address = entry.admin_address;
      member.failure_domain = entry.failure_domain;
      member.leaving = entry.leaving;
      others.emplace(entry.name, std::move(member));
    }
    m_others = std::move(others);
    m_listed_leaving = std::move(leaving);
    ++m_version;
  }

  void MarkUpstreamLeaving(const std::string& upstream, TimePoint /*now*/) override {
    m_version += m_marked_leaving.insert(upstream).second ? 1 : 0;
  }

  void ReturnUpstream(const std::string& upstream, TimePoint /*now*/) override {
    m_version += m_marked_leaving.erase(upstream);
  }

  void OnUpstreamReport(const std::string& upstream, bool leaving, int64_t /*measured_wall_ms*/,
                        TimePoint now) override {
    if (leaving) {
      MarkUpstreamLeaving(upstream, now);
    }
  }

  void AnnounceLeaving(TimePoint /*now*/) override {
    m_self.leaving = true;
    ++m_version;
  }

  void PublishPreset(const ActivePreset& version, TimePoint /*now*/) override {
    m_self.preset_revision = version.revision;
    ++m_version;
  }

  std::vector<MemberView> Members() const override {
    std::vector<MemberView> members = {m_self};
    for (const auto& [name, member] : m_others) {
      members.push_back(member);
    }
    std::sort(members.begin(), members.end(),
              [](const MemberView& a, const MemberView& b) { return a.name < b.name; });
    return members;
  }

  std::set<std::string> LeavingUpstreams() const override {
    std::set<std::string> leaving = m_listed_leaving;
    leaving.insert(m_marked_leaving.begin(), m_marked_leaving.end());
    return leaving;
  }

  bool IsWatcher() const override { return true; }
  bool IsRefreshing() const override { return false; }
  uint64_t Version() const override { return m_version; }

 private:
  MemberView m_self;
  std::map<std::string, MemberView> m_others;  // Other instances by name.
  std::set<std::string> m_listed_leaving;      // Upstreams that the list shows as leaving.
  std::set<std::string> m_marked_leaving;  // Upstreams marked as leaving; kept when the list lags.
  uint64_t m_version = 0;
};

}  // namespace

std::unique_ptr<PeerGroup> MakeListPeerGroup(MemberView self) {
  return std::make_unique<ListPeerGroup>(std::move(self));
}

}  // namespace azuregw
