// Adds up what the instances have in progress at each upstream.
//
// Decision module: no I/O. The holder of the layout duty keeps one; with a load known to all within
// a fraction of a second, instances that each have few streams do not overfill the same engines.

#ifndef AZUREGW_FLEET_LOAD_LEDGER_H_
#define AZUREGW_FLEET_LOAD_LEDGER_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/fleet/fleet.h"

namespace azuregw {

struct SuspectReport {
  std::string id;
  Milliseconds remaining{0};
  bool stopped = false;  // It does not answer at all.
};

struct PaceReport {
  std::string id;
  double pace = 1;  // Above 1: slower than its kind.
  Milliseconds remaining{0};
};

struct LoadReport {
  std::string instance;
  int instances = 0;  // Set by the holder.
  std::unordered_map<std::string, UpstreamLoad> loads;
  std::vector<SuspectReport> suspects;
  std::vector<PaceReport> paces;
};

class LoadLedger {
 public:
  // Reports that are older belong to instances that are gone or cut off; their streams are ending.
  static constexpr Milliseconds kReportLife{1500};

  void Add(LoadReport report, TimePoint now);
  // The sum of the reports of all but `instance`, and all their suspects and paces.
  LoadReport OthersOf(const std::string& instance, TimePoint now);

 private:
  struct Entry {
    LoadReport report;
    TimePoint received;
  };
  std::map<std::string, Entry> m_reports;
};

// What `fleet` has in progress here, as a report of `instance`.
LoadReport OwnLoad(const Fleet& fleet, const std::string& instance, TimePoint now);
// Takes over what the others have in progress and suspect.
void ApplyOthers(const LoadReport& others, Fleet* fleet, TimePoint now);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_LOAD_LEDGER_H_
