// Asks engines for their state and gives them orders. Implemented by the adapter.

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

// A request whose work waits for an engine that does not answer.
struct StalledRequest {
  std::string request_id;
  std::string address;  // Of the engine that does not answer.
};

struct EngineReport {
  int64_t started_ms = 0;  // Unix time.
  uint64_t order_sequence = 0;
  bool busy = false;  // An order is being carried out.
  std::optional<LayerRange> layers;
  double pace = 1;  // Above 1: slower than its kind.
  std::vector<StalledRequest> stalled;
};

struct PlaceOrder {
  std::string id;
  std::string address;
  LayerRange layers;
  uint64_t fencing_token = 0;
  uint64_t expected_sequence = 0;  // The engine refuses the order if it has begun others since.
};

enum class OrderOutcome {
  kStarted,
  kHolds,        // The engine already holds the layers.
  kConflict,     // It does not fit the engine's state.
  kFenced,       // Another holder has used a higher fencing token.
  kOtherEngine,  // Another engine has the address.
  kRejected,
  kUnanswered,  // May be carried out now, later or never.
};

class EngineControl {
 public:
  // An engine answers within a few ms when it works.
  static constexpr Milliseconds kReportTimeLimit{600};

  virtual ~EngineControl() = default;
  // Errors: kUpstreamUnreachable, kUpstreamTimeout, kUpstreamProtocol.
  virtual void QueryReport(const std::string& address, Milliseconds time_limit,
                           std::function<void(Result<EngineReport>)> done) = 0;
  virtual void Place(const PlaceOrder& order, std::function<void(OrderOutcome)> done) = 0;
  // Moves a running request to another path that begins with the same engine.
  virtual void Reroute(const PathHop& first, const std::string& request_id,
                       gsl::span<const PathHop> path, std::function<void(OrderOutcome)> done) = 0;
};

}  // namespace azuregw

#endif  // AZUREGW_PLACEMENT_ENGINE_CONTROL_H_
