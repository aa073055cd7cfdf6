// Interface to query the state of engines and to send them orders. Implemented by the adapter.

#ifndef AZUREGW_PLACEMENT_ENGINE_CONTROL_H_
#define AZUREGW_PLACEMENT_ENGINE_CONTROL_H_

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/fleet/path_selector.h"
#include "azuregw/preset/preset.h"

namespace azuregw {

// Request that is blocked on an unresponsive engine.
struct StalledRequest {
  std::string request_id;
  std::string address;  // Address of the unresponsive engine.
};

// State reported by an engine.
struct EngineReport {
  int64_t started_ms = 0;       // Unix time of the process start.
  uint64_t order_sequence = 0;  // Number of orders started so far.
  bool busy = false;            // An order is being executed.
  std::optional<LayerRange> layers;
  double pace = 1;  // Slowdown factor; above 1 is slower than normal for the accelerator kind.
  std::vector<StalledRequest> stalled;
};

// Order to an engine to load a range of layers.
struct PlacementOrder {
  std::string id;
  std::string address;
  LayerRange layers;
  uint64_t fencing_token = 0;
  // Order sequence at which the engine accepts the order; it rejects the order if it has started
  // others since.
  uint64_t expected_sequence = 0;
};

// Result of an order.
enum class OrderOutcome {
  kStarted,
  kHolds,        // The engine already holds the layers.
  kConflict,     // The engine's state does not match the order's preconditions.
  kFenced,       // Another leader has used a higher fencing token.
  kOtherEngine,  // The address belongs to another engine.
  kRejected,
  kUnanswered,  // No reply; the order may be executed now, later or never.
};

// Sends control calls to engines. Callbacks run on the event loop.
class EngineControl {
 public:
  // Timeout of a state query. A healthy engine replies within a few ms.
  static constexpr Milliseconds kReportTimeLimit{600};

  virtual ~EngineControl() = default;
  // Queries the engine's state. Errors: kUpstreamUnreachable (nothing listens at the address),
  // kUpstreamTimeout, kUpstreamProtocol (it answers, but not with a report).
  virtual void QueryReport(const std::string& address, Milliseconds time_limit,
                           std::function<void(Result<EngineReport>)> done) = 0;
  // Orders an engine to load layers.
  virtual void Place(const PlacementOrder& order, std::function<void(OrderOutcome)> done) = 0;
  // Reroutes a running request to another path that begins with the same engine `first`.
  virtual void Reroute(const PathHop& first, const std::string& request_id,
                       gsl::span<const PathHop> path, std::function<void(OrderOutcome)> done) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_ENGINE_CONTROL_H_
