// Shares state between the instances: each one reports its load to the holder of the layout duty,
// and gets back the sum of all loads, the configuration and the list of upstreams. The traffic and
// the calls to the store do not grow with the pairs of instances; the calls do not grow at all.

#ifndef AZUREGW_SYNC_STATE_EXCHANGE_H_
#define AZUREGW_SYNC_STATE_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

#include "azuregw/base/event_loop.h"
#include "azuregw/base/result.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/forward/gateway_settings.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/placement/leader_lease.h"
#include "azuregw/sync/config_watcher.h"
#include "azuregw/sync/upstream_lister.h"

namespace azuregw {

class StateExchange {
 public:
  virtual ~StateExchange() = default;
  virtual void Start() = 0;
  // The configuration or the list has changed; the holder passes it on without waiting.
  virtual void OnStateChanged() = 0;
  // This instance found something that the others should know without waiting.
  virtual void OnHealthReport() = 0;
  // How many instances share the load; nullopt while the load of the others is not known.
  virtual std::optional<int> InstanceCount() const = 0;
};

// What is exchanged. All members outlive the exchange.
struct StateExchangeDependencies {
  LeaderLease* leader_lease = nullptr;
  Fleet* fleet = nullptr;
  ConfigWatcher* config = nullptr;
  UpstreamLister* lister = nullptr;
  EventLog* log = nullptr;
};

// Errors: kPortInUse.
Result<std::unique_ptr<StateExchange>> MakeStateExchange(boost::asio::io_context* io,
                                                         EventLoop* loop,
                                                         const GatewaySettings& settings,
                                                         const StateExchangeDependencies& parts);

}  // namespace azuregw

#endif  // AZUREGW_SYNC_STATE_EXCHANGE_H_
