// Aggregates the load reports of the instances per upstream.
//
// Decision module: no I/O. The leader keeps the table and distributes its totals, so that each
// instance knows the load within a fraction of a second and instances with few streams each do not
// overload the same engines. All instances receive the same totals and subtract their own report;
// the cost grows linearly with the number of instances, not quadratically.

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

// Number that the leader assigned to an instance.
using InstanceNumber = uint16_t;

// Load of an upstream, of one instance or of all.
struct UpstreamLoadReport {
  UpstreamNumber upstream = 0;
  UpstreamLoad load;
  // Time since the last response event through the upstream; nullopt if unknown.
  std::optional<Milliseconds> idle;
};

// Health report of an upstream that should receive no new requests for `remaining`.
struct SuspectReport {
  UpstreamNumber upstream = 0;
  InstanceNumber reporter = 0;
  Milliseconds remaining{0};
  SuspectKind kind = SuspectKind::kFailing;
};

// Self-reported pace of an engine, valid for `remaining`.
struct PaceReport {
  UpstreamNumber upstream = 0;
  InstanceNumber reporter = 0;
  Milliseconds remaining{0};
  double pace = 1;  // Slowdown factor; above 1 is slower than normal for the accelerator kind.
};

// Streams whose paths begin at an upstream.
struct BegunReport {
  UpstreamNumber upstream = 0;
  int streams = 0;
};

// Rate limit that an upstream stated `age` ago; nullopt: it stated that it has none.
struct RateLimitReport {
  UpstreamNumber upstream = 0;
  std::optional<double> per_s;
  Milliseconds age{0};
};

// Statement of the process of an upstream that started at `process`, valid for `remaining`.
struct StatementReport {
  UpstreamNumber upstream = 0;
  int64_t process = 0;  // UpstreamRecord::started_ms.
  StatedFact fact = StatedFact::kLeaving;
  Milliseconds remaining{0};
};

// Tokens per second that cross a link between failure domains.
struct LinkRateReport {
  LinkId link = 0;
  double tokens_per_s = 0;
};

// Load and health reports of one instance, or the totals over all.
struct LoadReport {
  std::vector<UpstreamLoadReport> loads;
  std::vector<SuspectReport> suspects;
  std::vector<PaceReport> paces;
  std::vector<LinkRateReport> links;
  std::vector<RateLimitReport> rate_limits;
  std::vector<BegunReport> begun;
  std::vector<StatementReport> statements;
};

// Holds the latest load report of each instance and computes the totals.
class FleetLoadTable {
 public:
  // Maximum age of a report. Older reports belong to instances that exited or are partitioned,
  // whose streams are ending.
  static constexpr Milliseconds kReportTtl{2000};

  // Replaces the report of `instance`, received at `now`.
  void SetReport(InstanceNumber instance, LoadReport report, TimePoint now);
  // Drops expired reports and returns the sum over all instances, with the longest-lasting
  // suspicion and pace and the shortest idle time of each upstream.
  LoadReport Totals(TimePoint now);
  // Returns the number of instances whose reports the table holds.
  int InstanceCount() const { return static_cast<int>(m_reports.size()); }

 private:
  // Report and the time of its arrival.
  struct Entry {
    LoadReport report;
    TimePoint received;
  };
  std::map<InstanceNumber, Entry> m_reports;
};

// Builds the load report of instance `reporter` from its own requests and health observations in
// `fleet`. Upstreams without a number are omitted.
LoadReport BuildLoadReport(const Fleet& fleet, const UpstreamNumbers& numbers,
                           InstanceNumber reporter, TimePoint now);
// Applies the load and health reports of the other instances to `fleet`: `totals` minus `own`, the
// report of `reporter` that they include.
void ApplyTotals(const LoadReport& totals, const LoadReport& own, InstanceNumber reporter,
                 const UpstreamNumbers& numbers, Fleet* fleet, TimePoint now);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_FLEET_LOAD_TABLE_H_
