// Control state of this instance: active preset, detection of process pauses, readiness.

#ifndef SRC_CONTROL_CONTROL_STATE_H_
#define SRC_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "azuregw/control/control_loop.h"
#include "azuregw/control/peer_group.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/preset/preset_tracker.h"

namespace azuregw {

// Identity of this instance and parameters of pause detection.
struct ControlStateOptions {
  std::string self;            // Name of this instance.
  std::string failure_domain;  // Failure domain of this instance.
  // Gap between two ticks above which the process counts as paused. Ticks occur every 100 ms; a
  // shorter limit reports a pause on a busy machine.
  Milliseconds pause_limit{1000};
  // False only in tests, to show which failure the refresh prevents.
  bool refresh_after_pause = true;
};

// State machine of the control thread, without threads or I/O. Not thread-safe.
class ControlState {
 public:
  explicit ControlState(ControlStateOptions options);

  // Records a tick. Returns whether the process was paused since the last tick and a refresh
  // starts; the caller then rereads preset and list and calls OnPresetRead and OnListRead.
  bool OnTick(TimePoint now);

  // Offers a preset version; returns whether it was applied.
  PresetTracker::OfferResult OnPreset(uint64_t revision, std::string_view document);

  // Records the end of a read for refresh `number`, successful or not: if the platform is down, the
  // instance continues with its last known state. Older numbers are ignored, because such a read
  // may have started before the pause.
  void OnPresetRead(uint64_t number);
  void OnListRead(uint64_t number);
  // Returns the number of the latest refresh; 0 before the first.
  uint64_t RefreshNumber() const { return m_refresh_number; }
  // Returns whether a read of the latest refresh is pending.
  bool IsRefreshing() const { return m_preset_pending || m_list_pending; }

  // Records that this instance is draining.
  void OnDrain() { m_draining = true; }
  // Sets the component problem that prevents readiness; empty if all components work.
  void OnComponentStatus(std::string problem) { m_component_problem = std::move(problem); }

  // Returns the readiness; `peers_refreshing` is PeerGroup::IsRefreshing.
  Readiness CurrentReadiness(bool peers_refreshing) const;
  // Returns the active preset version; revision 0 if none is known.
  const ActivePreset& Preset() const { return m_tracker.Current(); }
  // Returns why the last invalid preset was rejected.
  const std::string& LastPresetProblem() const { return m_tracker.LastProblem(); }
  bool Draining() const { return m_draining; }

  // Returns the successor of `previous` (null for the first snapshot), or null if nothing changed.
  std::shared_ptr<const Snapshot> NextSnapshot(const Snapshot* previous,
                                               const PeerGroup& peers) const;

 private:
  const ControlStateOptions m_options;
  PresetTracker m_tracker;
  TimePoint m_last_tick;
  bool m_ticked = false;          // Whether m_last_tick is valid.
  uint64_t m_refresh_number = 0;  // Number of the latest refresh.
  bool m_preset_pending = false;  // The latest refresh has not read the preset yet.
  bool m_list_pending = false;    // The latest refresh has not read the list yet.
  bool m_draining = false;
  std::string m_component_problem;  // Empty if all components work.
};

}  // namespace azuregw

#endif  // SRC_CONTROL_CONTROL_STATE_H_
