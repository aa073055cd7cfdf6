// Executes the decisions of EngineOrderPlanner: lease, intents and calls to engines.

#ifndef AZUREGW_PLANNER_PLANNER_RUNNER_H_
#define AZUREGW_PLANNER_PLANNER_RUNNER_H_

#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/planner/engine_order_planner.h"
#include "azuregw/timeline/event_recorder.h"

namespace azuregw {

// Parameters of a PlannerRunner.
struct PlannerRunnerOptions {
  std::string instance;  // Name of this instance.
  PlannerOptions planner;
  Milliseconds lease_ttl{10000};
  Milliseconds acquire_interval{3000};  // Interval between attempts to obtain the lease.
  Milliseconds step_interval{500};
  bool confirm_lease = true;  // Confirms the lease before each order; false only in tests.
};

// Objects that must outlive the runner; `events` may be null. The engine client may call back after
// the runner is destroyed.
struct PlannerRunnerDependencies {
  KeyValueStore* kv = nullptr;
  EngineClient* engines = nullptr;
  const SnapshotSource* snapshots = nullptr;
  const Clock* clock = nullptr;
  EventRecorder* events = nullptr;
};

// Obtains the planner lease and, while it is held, keeps engines in the state that the preset
// specifies.
class PlannerRunner {
 public:
  virtual ~PlannerRunner() = default;
  // Runs Step every step_interval on a dedicated thread until Stop.
  virtual void Start() = 0;
  // Joins the thread. Idempotent.
  virtual void Stop() = 0;
  // Runs one iteration, with blocking calls. For tests, which must not call Start as well.
  virtual void Step() = 0;
  // Returns whether the lease was held at the last step. Thread-safe.
  virtual bool HoldsLease() const = 0;
};

std::unique_ptr<PlannerRunner> MakePlannerRunner(PlannerRunnerOptions options,
                                                 PlannerRunnerDependencies dependencies);

}  // namespace azuregw

#endif  // AZUREGW_PLANNER_PLANNER_RUNNER_H_
