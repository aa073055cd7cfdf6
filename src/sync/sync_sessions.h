// What the two ends of a link between instances say to each other. No I/O.
//
// Freshness: an instance sends the time of its own clock; the holder returns it with the ages of
// the configuration and the list at the moment at which it arrived. The instance may then count
// these ages back from its own time, so that neither clocks nor delays make old state look fresh.

#ifndef AZUREGW_SYNC_SYNC_SESSIONS_H_
#define AZUREGW_SYNC_SYNC_SESSIONS_H_

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "azuregw/base/event_loop.h"
#include "azuregw/fleet/fleet_load_table.h"
#include "azuregw/sync/config_watcher.h"
#include "azuregw/sync/upstream_lister.h"
#include "azuregw/sync/upstream_relay.h"
#include "sync/sync_frames.h"

namespace azuregw {

// The state that is shared. All members outlive the sides.
struct SharedState {
  EventLoop* loop = nullptr;
  Fleet* fleet = nullptr;
  ConfigWatcher* config = nullptr;
  UpstreamLister* lister = nullptr;
};

// Time between two reports of an instance, and between two totals of a holder with this processor
// time.
Milliseconds ReportInterval(int instances, double holder_cpu_share);

// What the holder knows of one link.
struct FollowerState {
  InstanceNumber number = 0;
  int64_t stamp_us = 0;  // Of the last report; 0: none.
  TimePoint stamp_arrived;
  uint64_t sent_config = 0;  // Versions that the receiver has.
  uint64_t sent_list = 0;
};

// One tenure of the duty.
class LeaderSession {
 public:
  LeaderSession(SharedState state, std::string name, double cpu_share)
      : m_state(state), m_name(std::move(name)), m_cpu_share(cpu_share) {}

  void OnReport(const InstanceReport& report, FollowerState* reporter);
  // Returns false when the tenure must end, because the numbers of upstreams are used up.
  bool TakeList();
  // `held`: the duty is held at present.
  StateUpdate NewsFor(FollowerState* reporter, bool held);
  // The sum, with this instance's own part, which is taken over here, too.
  FleetTotals Totals();

 private:
  static constexpr InstanceNumber kOwnNumber = 0;

  const SharedState m_state;
  const std::string m_name;
  const double m_cpu_share;
  UpstreamHistory m_history;
  FleetLoadTable m_ledger;
  std::map<std::string, InstanceNumber> m_instances;
  double m_most_cpu_share = 0;  // Of those that reported in this tenure.
};

// One connection to the holder.
class FollowerSession {
 public:
  FollowerSession(SharedState state, std::string name, double cpu_share)
      : m_state(state), m_name(std::move(name)), m_cpu_share(cpu_share) {}

  InstanceReport NextReport();
  void OnNews(const StateUpdate& news);
  void OnTotals(const FleetTotals& totals);
  const std::string& Holder() const { return m_holder; }

 private:
  // Reports whose echo is awaited; more are on their way only when the link is about to be dropped.
  static constexpr size_t kMaxAwaited = 16;

  struct Sent {
    int64_t stamp_us;
    LoadReport load;
  };

  const SharedState m_state;
  const std::string m_name;
  const double m_cpu_share;
  std::string m_holder;
  InstanceNumber m_number = 0;
  RelayedUpstreams m_list;
  std::deque<Sent> m_sent;  // The front one is part of the holder's totals once it was returned.
  bool m_front_returned = false;
};

}  // namespace azuregw

#endif  // AZUREGW_SYNC_SYNC_SESSIONS_H_
