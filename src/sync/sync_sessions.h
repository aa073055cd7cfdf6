// Protocol logic of the leader and the followers of the state exchange. No I/O.
//
// Freshness: a follower stamps each report with its own clock. The leader echoes the stamp with the
// ages of the configuration and the upstream list at the arrival of that report. The follower
// subtracts the ages from the echoed stamp, so clock skew and network delay never make stale state
// look fresh.

#ifndef AZUREGW_SYNC_SYNC_SESSIONS_H_
#define AZUREGW_SYNC_SYNC_SESSIONS_H_

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "azuregw/admission/prompt_quarantine.h"
#include "azuregw/base/event_loop.h"
#include "azuregw/fleet/fleet_load_table.h"
#include "azuregw/kv/store_era.h"
#include "azuregw/sync/config_watcher.h"
#include "azuregw/sync/upstream_lister.h"
#include "azuregw/sync/upstream_relay.h"
#include "sync/sync_frames.h"

namespace azuregw {

// Objects that hold the shared state of one instance. All must outlive the sessions.
struct SharedState {
  EventLoop* loop = nullptr;
  Fleet* fleet = nullptr;
  ConfigWatcher* config = nullptr;
  UpstreamLister* lister = nullptr;
  PromptQuarantine* quarantine = nullptr;
  StoreEra* store_era = nullptr;
};

// Returns the interval of reports and totals for a leader with this CPU share, in cores.
Milliseconds ReportInterval(int instances, double leader_cpu_share);

// Per-follower state on the leader.
struct FollowerState {
  InstanceNumber number = 0;
  int64_t stamp_us = 0;  // Stamp of the last report; 0 if none.
  TimePoint report_arrived;
  uint64_t sent_config_version = 0;    // Last configuration version sent to the follower.
  uint64_t config_version = 0;         // Configuration version that the follower has.
  bool config_wanted = false;          // The follower cannot read the newest one from the store.
  uint64_t sent_list_version = 0;      // Upstream list version that the follower has.
  uint64_t sent_evidence_version = 0;  // Version of the prompt evidence sent to the follower.
};

// Leader's side of the exchange for one leadership term. Aggregates reports and builds updates.
class LeaderSession {
 public:
  LeaderSession(SharedState state, std::string name, double cpu_share)
      : m_state(state), m_name(std::move(name)), m_cpu_share(cpu_share) {}

  // Records a follower's load report and assigns its number on the first one.
  void OnReport(const InstanceReport& report, FollowerState* follower);
  // Records changes of the upstream list. Returns false when no upstream number is left; the term
  // must then end.
  bool UpdateUpstreams();
  // Builds the update for one follower and marks its content as sent. `lease_held` tells whether
  // this instance holds the leader lease.
  StateUpdate UpdateFor(FollowerState* follower, bool lease_held);
  // Allows `bytes` more of configuration documents to be sent to followers that want them. An
  // unused allowance expires.
  void SetDocumentBudget(int64_t bytes) {
    m_document_budget = std::min(bytes, m_document_budget + bytes);
  }
  // Returns the totals of all instances including this one, and applies them to its own fleet.
  FleetTotals Totals();

  // Number of the leader itself.
  static constexpr InstanceNumber kOwnNumber = 0;

 private:
  // Largest document that is sent to every follower at once. Followers read larger ones from the
  // store: 295 copies of 400 KB would occupy the leader's link for seconds.
  static constexpr size_t kMaxPushedDocumentBytes = size_t{64} << 10;

  const SharedState m_state;
  const std::string m_name;
  const double m_cpu_share;
  UpstreamHistory m_history;
  FleetLoadTable m_load_table;
  std::map<std::string, InstanceNumber> m_instances;
  int64_t m_document_budget = 0;  // Bytes of large documents that may be sent; may be negative.
  double m_max_cpu_share = 0;     // Largest CPU share reported in this term, in cores.
};

// Follower's side of the exchange for one connection to the leader.
class FollowerSession {
 public:
  FollowerSession(SharedState state, std::string name, double cpu_share)
      : m_state(state), m_name(std::move(name)), m_cpu_share(cpu_share) {}

  // Builds the next report with this instance's current load.
  InstanceReport BuildReport();
  // Applies the relayed configuration and upstream list.
  void OnUpdate(const StateUpdate& update);
  // Applies the load of the other instances: the totals without the part that this one reported.
  void OnTotals(const FleetTotals& totals);
  // Returns the name of the leader; empty before the first update.
  const std::string& Leader() const { return m_leader; }
  // Returns the number that the leader assigned to this instance.
  InstanceNumber Number() const { return m_number; }

 private:
  // Limit of reports in flight; exceeded only when the connection is about to be closed.
  static constexpr size_t kMaxUnacknowledgedReports = 16;

  struct SentReport {
    int64_t stamp_us;
    LoadReport load;
  };

  const SharedState m_state;
  const std::string m_name;
  const double m_cpu_share;
  std::string m_leader;
  InstanceNumber m_number = 0;
  RelayedUpstreams m_list;
  // Version of this instance's own prompt evidence that the leader has; nullopt before the first
  // report.
  std::optional<uint64_t> m_sent_own_evidence;
  std::deque<SentReport> m_sent;  // Last acknowledged report, then those in flight.
  // Whether the leader echoed the front of m_sent; its load is then part of the totals.
  bool m_front_acknowledged = false;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_SYNC_SESSIONS_H_
