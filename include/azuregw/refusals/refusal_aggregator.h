// Collects the refusal reports of one failure domain and writes them to the key-value service.
//
// Two instances per failure domain aggregate (rendezvous hashing); each receives every report. The
// record itself says which reports it contains, so that two writers, a lost reply of the service
// and a repeated report never count anything twice.

#ifndef AZUREGW_REFUSALS_REFUSAL_AGGREGATOR_H_
#define AZUREGW_REFUSALS_REFUSAL_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/control/snapshot.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/refusals/refusal_record.h"

namespace azuregw {

constexpr size_t kRefusalAggregators = 2;

// Names of the aggregators of a failure domain, first one first.
std::vector<std::string> RefusalAggregatorsOf(const std::string& failure_domain,
                                              const std::vector<MemberView>& members);

// Thread-safe; WriteDue makes blocking calls, outside the lock.
class RefusalAggregator {
 public:
  // `skips_applied_reports` is off only in tests, to show what the record's marks guard.
  explicit RefusalAggregator(std::string failure_domain, bool skips_applied_reports = true)
      : m_failure_domain(std::move(failure_domain)),
        m_skips_applied_reports(skips_applied_reports) {}

  wire::RefusalAckT OnReport(const wire::RefusalReportT& report, int64_t wall_ms);
  // Live instances of the failure domain, as this instance sees them. One that vanished without a
  // last report is lost.
  void OnMembers(const std::set<std::string>& live, int64_t wall_ms);
  // Writes the records of all open hours. Returns the first error; what was not written stays.
  Result<void> Write(KeyValueStore* store, int64_t wall_ms);
  // Forgets everything when this instance ceases to be an aggregator.
  void Clear();

 private:
  struct Source {
    Reporter reporter;      // `applied` is unused.
    uint64_t received = 0;  // Reports up to this one were received.
    uint64_t durable = 0;   // Reports up to this one are in the key-value service.
  };
  struct Pending {
    ReporterKey key;
    wire::RefusalReportT report;
  };

  void NoteSuccessor(const std::string& instance, uint64_t incarnation, int64_t wall_ms);
  void SetLost(Source* source, int64_t wall_ms);
  void ForgetOld(int64_t wall_ms);
  Result<void> WriteHour(KeyValueStore* store, int64_t hour, int64_t wall_ms);
  void MergeInto(RefusalRecord* record);
  // Learns reporters that another aggregator registered in the record of the current hour.
  void Learn(const RefusalRecord& record);

  const std::string m_failure_domain;
  const bool m_skips_applied_reports;
  std::mutex m_mutex;
  std::map<ReporterKey, Source> m_sources;  // Incarnation 0: has not reported yet.
  std::vector<Pending> m_pending;           // Received and not yet durable, in order per source.
  std::set<int64_t> m_open_hours;           // Written once more after their end.
};

}  // namespace azuregw

#endif  // AZUREGW_REFUSALS_REFUSAL_AGGREGATOR_H_
