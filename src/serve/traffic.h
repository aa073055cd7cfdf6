// The part of an instance that serves callers: listener, pipelines, orders, admission.

#ifndef SRC_SERVE_TRAFFIC_H_
#define SRC_SERVE_TRAFFIC_H_

#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/config/settings.h"
#include "azuregw/control/control_loop.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/orders/claim_forwarder.h"
#include "azuregw/refusals/refusal_recorder.h"
#include "azuregw/routing/chain_selector.h"
#include "azuregw/timeline/event_recorder.h"

namespace azuregw {

// The pointers outlive the traffic.
struct TrafficDependencies {
  const Clock* clock = nullptr;
  ControlLoop* control = nullptr;  // Snapshots, notices and readiness.
  KeyValueStore* kv = nullptr;
  Metrics* metrics = nullptr;
  EventRecorder* events = nullptr;
  RefusalRecorder* refusals = nullptr;
  // Replaces the chain selector; only benchmark programs set it, to compare policies.
  std::function<std::unique_ptr<ChainSelector>()> make_selector;
  // Where claims are committed; empty: in this instance.
  std::function<std::unique_ptr<ClaimForwarder>(OrderCommitter*)> make_forwarder;
};

class Traffic {
 public:
  virtual ~Traffic() = default;
  // Listens for callers. Errors: kPortInUse.
  virtual Result<void> Start() = 0;
  // "IP:port" with the port in use; valid after Start.
  virtual std::string Address() const = 0;
  // New requests are refused with kDraining; those in progress continue.
  virtual void BeginDrain() = 0;
  // Requests whose answer is not complete.
  virtual int InProgress() const = 0;
  // Waits for recorded outcomes of orders to be written; returns the number still unwritten.
  virtual int FlushOrders(TimePoint deadline) = 0;
  // For control duties that call engines; valid until the traffic is destroyed.
  virtual EngineClient* Engines() = 0;
  // Closes the listener and all connections.
  virtual void Stop() = 0;
};

std::unique_ptr<Traffic> MakeTraffic(const Settings& settings,
                                     const TrafficDependencies& dependencies);

}  // namespace azuregw

#endif  // SRC_SERVE_TRAFFIC_H_
