// Judges the instances that this one monitors by the silence on their heartbeats.

#ifndef AZUREGW_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
#define AZUREGW_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <set>
#include <string>
#include <vector>

#include "azuregw/membership/membership.h"
#include "membership/member_table.h"

namespace azuregw {

class FailureDetector {
 public:
  FailureDetector(const MembershipOptions& options, MemberTable* table)
      : m_options(options), m_table(*table) {}

  // Takes over the predecessors on the ring as the monitored instances.
  void UpdateMonitored(TimePoint now);
  // Starts a new period of silence for every monitored instance.
  void Restart(TimePoint now);
  // Changes the state of silent instances and returns their names.
  std::vector<std::string> Judge(TimePoint now);
  // Monitored instances that are suspect.
  std::vector<std::string> Suspects() const;

 private:
  bool JudgeMonitored(Member* member, TimePoint now);
  void SetState(Member* member, wire::MemberState state, TimePoint now);

  const MembershipOptions& m_options;
  MemberTable& m_table;
  std::set<std::string> m_monitored;  // May name instances that were forgotten since.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
