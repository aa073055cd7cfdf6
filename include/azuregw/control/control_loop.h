// The control thread: owner of the preset in force, the members and the leaving upstreams.
//
// It publishes snapshots for traffic threads. Platform workers make the blocking calls to the
// key-value service and the list and report to it.

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

struct Readiness {
  bool ready = false;
  ResultCode code = ResultCode::kNotReady;  // Reason; kOk when ready.
  std::string message;
};

struct ControlOptions {
  std::string self;
  std::string failure_domain;
  Milliseconds tick{100};
  Milliseconds pause_limit{1000};
  Milliseconds list_interval{2000};  // Of watchers; they pass on what the list says.
  // Of other instances. The list of the target size is about 600 KB, so that reading it every 2 s
  // would take 300 KB/s of the 2 KB/s allowed for control.
  Milliseconds idle_list_interval{600000};
  // Limits how long a stop waits for a watch in progress; 5 watchers then make 2.5 calls/s.
  Milliseconds watch_wait{2000};
};

// Platform and observers; all must outlive the loop. `metrics` and `events` may be null.
struct ControlDependencies {
  const Clock* clock = nullptr;
  KeyValueStore* kv = nullptr;
  InstanceList* list = nullptr;
  Metrics* metrics = nullptr;
  EventRecorder* events = nullptr;
};

// All methods are thread-safe.
class ControlLoop : public SnapshotSource, public UpstreamStateListener {
 public:
  // Before Start; the default is MakeListPeerGroup. The group must outlive the loop.
  virtual void SetPeers(PeerGroup* peers) = 0;
  // Runs on the control thread when the process was paused; holders of leases check them again.
  // Before Start.
  virtual void AddPauseListener(std::function<void()> listener) = 0;

  // The threads of the loop, in the order of their start; owned by the loop. A supervisor starts
  // and stops them, or Start and Stop do.
  virtual std::vector<Component*> Components() = 0;
  virtual void Start() = 0;
  // Waits for the workers, at most for the call timeout and the watch's wait.
  virtual void Stop() = 0;

  // Runs `task` on the control thread; tasks run in order and must not block.
  virtual void Post(std::function<void()> task) = 0;
  // A peer sent `document`, the JSON text of the preset of `revision`.
  virtual void OnPresetFromPeer(uint64_t revision, std::string document) = 0;
  // Empty when all components work.
  virtual void OnComponentStatus(std::string problem) = 0;
  virtual void OnUpstreamReturned(const std::string& upstream) = 0;
  virtual void BeginDrain() = 0;
  // The version in force, for messages to peers; revision 0 when none is known.
  virtual ActivePreset CurrentPreset() const = 0;
  virtual Readiness CurrentReadiness() const = 0;
};

std::unique_ptr<ControlLoop> MakeControlLoop(const ControlOptions& options,
                                             const ControlDependencies& dependencies);

}  // namespace azuregw

#endif  // AZUREGW_CONTROL_CONTROL_LOOP_H_
