// Shares state between the instances over TCP. Each follower reports its load to the leader and
// receives the total load, the configuration and the upstream list. Traffic grows linearly with the
// number of instances, not with the number of pairs; the number of store calls is constant.

#ifndef AZUREGW_SYNC_STATE_EXCHANGE_H_
#define AZUREGW_SYNC_STATE_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

#include "azuregw/admission/prompt_quarantine.h"
#include "azuregw/base/event_loop.h"
#include "azuregw/base/result.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/fleet_load_table.h"
#include "azuregw/forward/gateway_settings.h"
#include "azuregw/kv/store_era.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/placement/leader_lease.h"
#include "azuregw/sync/config_watcher.h"
#include "azuregw/sync/upstream_lister.h"

namespace azuregw {

// One instance's end of the state exchange; follower or leader, depending on the leader lease. Runs
// on the event loop's thread.
class StateExchange {
 public:
  virtual ~StateExchange() = default;
  virtual void Start() = 0;
  // Notifies of a changed configuration or upstream list. The leader sends it ahead of schedule.
  virtual void OnStateChanged() = 0;
  // Notifies of a new health report of this instance. It is sent ahead of schedule.
  virtual void OnHealthReport() = 0;
  // Returns the number of instances that share the load, or nullopt while the load of the others is
  // unknown or stale.
  virtual std::optional<int> InstanceCount() const = 0;
  // Returns the number of this instance among them, as of the last totals. Each leader assigns the
  // numbers anew.
  virtual InstanceNumber Number() const = 0;
  // Returns the mean age of the load that the last totals contain.
  virtual Milliseconds LoadAge() const = 0;
};

// Dependencies of a StateExchange. All must outlive it.
struct StateExchangeDependencies {
  LeaderLease* lease = nullptr;
  Fleet* fleet = nullptr;
  ConfigWatcher* config = nullptr;
  UpstreamLister* lister = nullptr;
  PromptQuarantine* quarantine = nullptr;
  StoreEra* store_era = nullptr;
  EventLog* log = nullptr;
};

// Creates an exchange that listens on the peer address of `settings`. Errors: kPortInUse.
Result<std::unique_ptr<StateExchange>> MakeStateExchange(boost::asio::io_context* io,
                                                         EventLoop* loop,
                                                         const GatewaySettings& settings,
                                                         const StateExchangeDependencies& parts);

}  // namespace azuregw

#endif  // AZUREGW_SYNC_STATE_EXCHANGE_H_
