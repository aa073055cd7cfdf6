// Applies the layer layout: the leader orders engines that hold no layers to load some.

#ifndef AZUREGW_PLACEMENT_LAYOUT_CONTROLLER_H_
#define AZUREGW_PLACEMENT_LAYOUT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/event_loop.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/placement/engine_control.h"
#include "azuregw/placement/layer_layout.h"
#include "azuregw/placement/leader_lease.h"
#include "azuregw/routes/route_table.h"

namespace azuregw {

// Plans the layout periodically while this instance is the leader and sends the orders. Runs on the
// event loop.
class LayoutController {
 public:
  // Interval between planning rounds.
  static constexpr Milliseconds kPlanInterval{250};
  // Delay before an engine that did not reply or rejected an order is queried again.
  static constexpr Milliseconds kRetryDelay{1000};
  // Maximum time after loading until an engine's list entry shows its new layers, which happens
  // with its next heartbeat.
  static constexpr Milliseconds kMaxListingDelay{5000};
  // Delay before a new leader plans, because the first list may lack engines that are still
  // registering.
  static constexpr Milliseconds kSettlingTime{700};
  // Time without a new upstream after which the list of a fleet that holds no layers is taken for
  // complete. The shape of the layout follows from all engines, and these register over several
  // seconds when a deployment starts.
  static constexpr Milliseconds kRegistrationTime{1200};
  // Limit of the wait for the first layout.
  static constexpr Milliseconds kMaxRegistrationTime{4000};

  LayoutController(EventLoop* loop, LeaderLease* leader_lease, const RouteTable* routes,
                   Fleet* fleet, EngineControl* control, EventLog* log)
      : m_loop(loop),
        m_leader_lease(leader_lease),
        m_routes(routes),
        m_fleet(fleet),
        m_control(control),
        m_log(log) {}

  // Starts the periodic planning.
  void Start() { Tick(); }

 private:
  // Last query or order of an engine; valid for one start of the engine process.
  struct Order {
    int64_t started_ms = 0;
    std::optional<LayerRange> layers;  // Ordered or reported layers that are not yet listed.
    bool in_progress = false;
    TimePoint until;  // Expiry of `layers`, or earliest time of the next query.
  };

  // Runs a planning round for all services if this instance is the leader.
  void Tick();
  // Plans the layout of a service and queries the engines that need layers.
  void Plan(const std::string& service, const EngineProfile& profile);
  // Queries the state of engine `id`, then orders `layers` if the engine is idle.
  void QueryEngine(const std::string& id, const LayerRange& layers, Milliseconds load_time);
  // Sends the order to engine `id`; `state` is its last report.
  void OrderLayers(const std::string& id, const LayerRange& layers, Milliseconds load_time,
                   const EngineReport& state);

  EventLoop* const m_loop;
  LeaderLease* const m_leader_lease;
  const RouteTable* const m_routes;
  Fleet* const m_fleet;
  EngineControl* const m_control;
  EventLog* const m_log;
  std::map<std::string, Order> m_orders;  // Queries and orders by engine ID.
  uint64_t m_fencing_token = 0;  // Fencing token under which the entries of `m_orders` were made.
  TimePoint m_leader_since;      // Time at which this instance became the leader.
  size_t m_known_upstreams = 0;  // Listed upstreams at the last tick.
  TimePoint m_last_growth;       // Last tick at which the list had grown.
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LAYOUT_CONTROLLER_H_
