// Timeout-based failure detector for the instances that this one monitors.

#ifndef AZUREGW_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
#define AZUREGW_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <set>
#include <string>
#include <vector>

#include "azuregw/membership/membership.h"
#include "membership/member_table.h"

namespace azuregw {

// Marks monitored instances as suspect, then dead, when their heartbeats stop. Changes only the
// state in the member table; the caller announces the changes. Not thread-safe.
class FailureDetector {
 public:
  FailureDetector(const MembershipOptions& options, MemberTable* table)
      : m_options(options), m_table(*table) {}

  // Replaces the monitored instances with the current predecessors on the ring.
  void UpdateMonitored(TimePoint now);
  // Restarts the timeouts of all monitored instances at `now`.
  void ResetTimeouts(TimePoint now);
  // Applies the timeouts and returns the names of the instances whose state changed.
  std::vector<std::string> UpdateStates(TimePoint now);
  // Returns the names of the monitored instances that are suspect.
  std::vector<std::string> Suspects() const;

 private:
  // Returns true if the state changed.
  bool UpdateState(Member* member, TimePoint now);
  void SetState(Member* member, wire::MemberState state, TimePoint now);

  const MembershipOptions& m_options;
  MemberTable& m_table;
  std::set<std::string> m_monitored;  // May contain names that the table no longer has.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_MEMBERSHIP_FAILURE_DETECTOR_H_
