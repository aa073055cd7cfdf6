// Counts the refusals of this instance and keeps them until they are durable.
//
// Every report interval, the counts become a report with the next sequence number. Reports are sent
// to the aggregators of the failure domain, again until each has received them, and are kept until
// one of them has written them to the key-value service. A crash loses the counts since the last
// report, that is, at most one interval.

#ifndef AZUREGW_REFUSALS_REFUSAL_LEDGER_H_
#define AZUREGW_REFUSALS_REFUSAL_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "azuregw/refusals/refusal_recorder.h"
#include "schemas/generated/peer_generated.h"

namespace azuregw {

struct RefusalSend {
  std::string aggregator;  // Name of an instance, which may be this one.
  wire::RefusalReportT report;
};

// Thread-safe.
class RefusalLedger final : public RefusalRecorder {
 public:
  RefusalLedger(std::string instance, uint64_t incarnation)
      : m_instance(std::move(instance)), m_incarnation(incarnation) {}

  void OnRefusal(const std::string& workspace, ResultCode reason, int64_t wall_ms) override;

  // To be called every report interval (5 s), and once with `last` at the end of the process.
  // Always returns a report per aggregator, because reports also say which time is covered.
  std::vector<RefusalSend> MakeReports(const std::vector<std::string>& aggregators, int64_t wall_ms,
                                       bool last);
  void OnAck(const std::string& aggregator, const wire::RefusalAckT& ack);
  // Whether every refusal counted so far is in the key-value service.
  bool IsDurable() const;

 private:
  using Key = std::tuple<int64_t, std::string, int>;  // Minute, workspace, reason.

  void CutReport();

  const std::string m_instance;
  const uint64_t m_incarnation;
  mutable std::mutex m_mutex;
  std::map<Key, uint32_t> m_counts;  // Since the last report.
  uint64_t m_last_sequence = 0;
  uint64_t m_durable = 0;  // Invariant: m_durable <= m_last_sequence.
  // Reports m_durable + 1 to m_last_sequence.
  std::deque<wire::RefusalReportT> m_retained;
  std::map<std::string, uint64_t> m_received;  // Aggregator -> last report that it received.
};

}  // namespace azuregw

#endif  // AZUREGW_REFUSALS_REFUSAL_LEDGER_H_
