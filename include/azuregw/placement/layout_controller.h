// Carries the layer layout out: the holder of the layout duty orders engines that hold nothing to
// load layers.

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

class LayoutController {
 public:
  static constexpr Milliseconds kPlanInterval{250};
  // Engines that did not answer or refused are asked again after this.
  static constexpr Milliseconds kRetryDelay{1000};
  // An engine's list entry shows new layers with its next heartbeat; beyond the time of loading.
  static constexpr Milliseconds kMaxListingDelay{5000};
  // The first list may miss engines that are still registering.
  static constexpr Milliseconds kSettlingTime{700};

  LayoutController(EventLoop* loop, LeaderLease* duty, const RouteTable* routes, const Fleet* fleet,
                   EngineControl* control, EventLog* log)
      : m_loop(loop),
        m_duty(duty),
        m_routes(routes),
        m_fleet(fleet),
        m_control(control),
        m_log(log) {}

  void Start() { Tick(); }

 private:
  // What was done about an engine; belongs to one start of it.
  struct Order {
    int64_t started_ms = 0;
    std::optional<LayerRange> layers;  // Ordered, or found in its report; not yet listed.
    bool in_progress = false;
    TimePoint until;  // Of `layers`, or of not asking again.
  };

  void Tick();
  void Plan(const std::string& service, const EngineProfile& profile);
  void Ask(const std::string& id, const LayerRange& layers, Milliseconds load_time);
  void Place(const std::string& id, const LayerRange& layers, Milliseconds load_time,
             const EngineReport& state);

  EventLoop* const m_loop;
  LeaderLease* const m_duty;
  const RouteTable* const m_routes;
  const Fleet* const m_fleet;
  EngineControl* const m_control;
  EventLog* const m_log;
  std::map<std::string, Order> m_orders;
  uint64_t m_token = 0;  // The duty's, when `m_orders` was begun.
  TimePoint m_taken;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_LAYOUT_CONTROLLER_H_
