// Carries out the planner's decisions: the lease, the intents, and the calls on engines.

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

struct PlannerRunnerOptions {
  std::string instance;
  PlannerOptions planner;
  Milliseconds lease_ttl{10000};
  Milliseconds acquire_interval{3000};  // Between attempts while another instance holds the lease.
  Milliseconds step_interval{500};
  bool confirms_lease = true;  // Off only in tests: no check of the lease before an order.
};

// All must outlive the runner; `events` may be null. The engine client may call back later than the
// end of the runner.
struct PlannerRunnerDependencies {
  KeyValueStore* kv = nullptr;
  EngineClient* engines = nullptr;
  const SnapshotSource* snapshots = nullptr;
  const Clock* clock = nullptr;
  EventRecorder* events = nullptr;
};

class PlannerRunner {
 public:
  virtual ~PlannerRunner() = default;
  // Runs Step on an own thread until Stop.
  virtual void Start() = 0;
  virtual void Stop() = 0;
  // One round; makes blocking calls. Not together with Start; for tests.
  virtual void Step() = 0;
  virtual bool HoldsLease() const = 0;
};

std::unique_ptr<PlannerRunner> MakePlannerRunner(PlannerRunnerOptions options,
                                                 PlannerRunnerDependencies dependencies);

}  // namespace azuregw

#endif  // AZUREGW_PLANNER_PLANNER_RUNNER_H_
