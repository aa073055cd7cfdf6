// The control loop: maintains the active preset, the members and the leaving upstreams on one
// thread.
//
// The control thread publishes snapshots for traffic threads. Platform workers make the blocking
// calls to the key-value service and the instance list and post the results to the control thread.

#ifndef AZUREGW_CONTROL_CONTROL_LOOP_H_
#define AZUREGW_CONTROL_CONTROL_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/control/peer_group.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/discovery/instance_list.h"
#include "azuregw/kv/key_value_store.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/supervisor/supervisor.h"
#include "azuregw/timeline/event_recorder.h"

namespace azuregw {

// Whether this instance accepts new work, and the reason if it does not.
struct Readiness {
  bool ready = false;
  ResultCode code = ResultCode::kNotReady;  // Reason for not being ready; kOk if ready.
  std::string message;                      // Readable form of `code`, for operators.
};

// Identity of this instance and intervals of the control loop.
struct ControlOptions {
  std::string self;            // Name of this instance.
  std::string failure_domain;  // Failure domain of this instance.
  Milliseconds tick{100};      // Interval between ticks of the control thread.
  // Gap between ticks above which the process counts as paused.
  Milliseconds pause_limit{1000};
  Milliseconds list_interval{2000};  // List poll interval of watchers, which propagate the list.
  // List poll interval of other instances. A list of the target size has about 600 KB; reading it
  // every 2 s would take 300 KB/s, and the control traffic budget is 2 KB/s.
  Milliseconds idle_list_interval{600000};
  // Timeout of one watch call, which limits how long Stop waits for it. At this value, 5 watchers
  // make 2.5 calls/s.
  Milliseconds watch_wait{2000};
};

// Platform clients and observers of the control loop, which must outlive it. `metrics` and `events`
// may be null.
struct ControlDependencies {
  const Clock* clock = nullptr;
  KeyValueStore* kv = nullptr;
  InstanceList* list = nullptr;
  Metrics* metrics = nullptr;
  EventRecorder* events = nullptr;
};

// Owns the control state and publishes it as snapshots. All methods are thread-safe unless they
// must precede Start.
class ControlLoop : public SnapshotSource, public UpstreamStateListener {
 public:
  // Replaces the default peer group of MakeListPeerGroup. Must precede Start; `peers` must outlive
  // the loop.
  virtual void SetPeers(PeerGroup* peers) = 0;
  // Adds a callback that runs on the control thread after each detected pause of the process, so
  // that owners of leases can revalidate them. Must precede Start.
  virtual void AddPauseListener(std::function<void()> listener) = 0;

  // Returns the threads of the loop in start order; the loop owns them. Either a supervisor starts
  // and stops them, or Start and Stop do.
  virtual std::vector<Component*> Components() = 0;
  // Starts all components.
  virtual void Start() = 0;
  // Stops all components. Waits for calls in progress, which the call timeout and `watch_wait`
  // limit.
  virtual void Stop() = 0;

  // Queues `task` to run on the control thread. Tasks run in FIFO order and must not block.
  virtual void Post(std::function<void()> task) = 0;
  // Offers `document`, the JSON text of the preset at `revision`, as received from a peer.
  virtual void OnPresetFromPeer(uint64_t revision, std::string document) = 0;
  // Sets the component problem that prevents readiness; empty if all components work.
  virtual void OnComponentStatus(std::string problem) = 0;
  // Clears the leaving mark of an upstream on request of an operator.
  virtual void OnUpstreamReturned(const std::string& upstream) = 0;
  // Starts to drain this instance: it becomes not ready and is announced as leaving.
  virtual void BeginDrain() = 0;
  // Returns the active preset version, for messages to peers; revision 0 if none is known.
  virtual ActivePreset CurrentPreset() const = 0;
  // Returns the readiness as of the last pass of the control thread.
  virtual Readiness CurrentReadiness() const = 0;
};

// Creates a control loop whose components are not started.
std::unique_ptr<ControlLoop> MakeControlLoop(const ControlOptions& options,
                                             const ControlDependencies& dependencies);

}  // namespace azuregw

#endif  // AZUREGW_CONTROL_CONTROL_LOOP_H_
