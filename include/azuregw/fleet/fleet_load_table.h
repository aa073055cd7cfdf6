// Adds up what the instances have in progress at each upstream.
//
// Decision module: no I/O. The holder of the layout duty keeps one; with a load known to all within
// a fraction of a second, instances that each have few streams do not overfill the same engines.
// The sum is the same for all instances, so that its cost grows with their number and not with its
// square; each one subtracts its own part.

#ifndef AZUREGW_FLEET_FLEET_LOAD_TABLE_H_
#define AZUREGW_FLEET_FLEET_LOAD_TABLE_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/upstream_numbers.h"

namespace azuregw {

// Number that the holder gave an instance.
using InstanceNumber = uint16_t;

struct UpstreamLoadReport {
  UpstreamNumber upstream = 0;
  UpstreamLoad load;
  // Since it last took part in an event of an answer; nullopt when that is unknown.
  std::optional<Milliseconds> idle;
};

struct SuspectReport {
  UpstreamNumber upstream = 0;
  InstanceNumber reporter = 0;
  Milliseconds remaining{0};
  SuspectKind kind = SuspectKind::kFailing;
};

struct PaceReport {
  UpstreamNumber upstream = 0;
  InstanceNumber reporter = 0;
  Milliseconds remaining{0};
  double pace = 1;  // Above 1: slower than its kind.
};

struct LoadReport {
  std::vector<UpstreamLoadReport> loads;
  std::vector<SuspectReport> suspects;
  std::vector<PaceReport> paces;
};

class FleetLoadTable {
 public:
  // Reports that are older belong to instances that are gone or cut off; their streams are ending.
  static constexpr Milliseconds kReportTtl{2000};

  // Replaces the report of `instance`.
  void SetReport(InstanceNumber instance, LoadReport report, TimePoint now);
  // The sum over all instances, with the longest suspicion and pace and the least idle time of each
  // upstream.
  LoadReport Totals(TimePoint now);
  // Instances whose report is in the last totals.
  int InstanceCount() const { return static_cast<int>(m_reports.size()); }

 private:
  struct Entry {
    LoadReport report;
    TimePoint received;
  };
  std::map<InstanceNumber, Entry> m_reports;
};

// What `fleet` has in progress here and what was found here, as a report of `reporter`. Upstreams
// without a number are left out.
LoadReport BuildLoadReport(const Fleet& fleet, const UpstreamNumbers& numbers,
                           InstanceNumber reporter, TimePoint now);
// Takes over what the others have in progress and suspect: `totals` without `own`, the report of
// `reporter` that is part of them.
void ApplyTotals(const LoadReport& totals, const LoadReport& own, InstanceNumber reporter,
                 const UpstreamNumbers& numbers, Fleet* fleet, TimePoint now);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_FLEET_LOAD_TABLE_H_
