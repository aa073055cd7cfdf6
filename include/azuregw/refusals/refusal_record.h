// The durable record of the refusals of one failure domain in one hour, and the operators' table.

#ifndef AZUREGW_REFUSALS_REFUSAL_RECORD_H_
#define AZUREGW_REFUSALS_REFUSAL_RECORD_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azuregw/base/result.h"
#include "azuregw/kv/key_value_store.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

// How one process of an instance stands in a record. Order of precedence at equal coverage.
enum class ReporterState { kLive, kLost, kEnded };

struct Reporter {
  uint64_t applied = 0;  // Reports up to this one are in the counts of the record.
  int64_t covered_until_ms = 0;
  ReporterState state = ReporterState::kLive;
  int64_t lost_at_ms = 0;  // When its loss was noticed; only for kLost.
};

using ReporterKey = std::pair<std::string, uint64_t>;  // Instance and incarnation.

struct RefusalRecord {
  int64_t hour = 0;  // Hours since the Unix epoch.
  // Minute -> workspace -> reason -> count. Reason 0 stands for several, in a record that would
  // have been too large.
  std::map<int64_t, std::map<std::string, std::map<int, uint64_t>>> counts;
  std::map<ReporterKey, Reporter> reporters;

  // Adds the counts of this hour unless the report is in the record already.
  void Apply(const wire::RefusalReportT& report);
  // Takes over what another aggregator knows of a reporter; `applied` is left alone.
  void MergeReporter(const ReporterKey& key, const Reporter& reporter);
  // Minutes of this hour for which an instance may have had refusals that it did not report: it was
  // lost, or nothing was heard of it for longer than reports and writes take.
  std::set<int64_t> IncompleteMinutes(int64_t wall_ms) const;
};

std::string RefusalRecordKey(const std::string& failure_domain, int64_t hour);
// Errors: kInternal (a damaged record).
Result<RefusalRecord> DecodeRefusalRecord(std::string_view text);
// At most 1 MB: reasons are added up when the text would be longer.
std::string EncodeRefusalRecord(const RefusalRecord& record);

struct RefusalRow {
  int64_t minute = 0;  // Minutes since the Unix epoch.
  std::string failure_domain;
  std::string workspace;  // Empty: the caller was not recognised.
  std::string reason;     // Name of the result code; "several" for reason 0.
  uint64_t count = 0;
};

struct RefusalTable {
  std::vector<RefusalRow> rows;  // By minute, failure domain, workspace and reason.
  // Minutes that count as minutes with a refusal, in any failure domain.
  std::set<int64_t> refusal_minutes;
  // Minute -> failure domains in which it is incomplete: an instance was lost before reporting.
  std::map<int64_t, std::set<std::string>> incomplete_minutes;
};

// Reads the records of the hours from `first_hour` to `last_hour`, at the time `wall_ms`. Errors:
// kKvUnavailable, kInternal.
Result<RefusalTable> ReadRefusalTable(KeyValueStore* store, int64_t first_hour, int64_t last_hour,
                                      int64_t wall_ms);

}  // namespace azuregw

#endif  // AZUREGW_REFUSALS_REFUSAL_RECORD_H_
