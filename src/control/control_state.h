// What this instance knows and whether it may serve: preset in force, pauses of the process,
// readiness. Decisions only; the control thread drives it.

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

struct ControlStateOptions {
  std::string self;
  std::string failure_domain;
  // A gap between two ticks above this means that the process was paused. Ticks come every 100 ms;
  // a shorter limit takes a busy machine for a pause.
  Milliseconds pause_limit{1000};
  bool refresh_after_pause = true;  // Off only in tests, to show what the refresh guards.
};

class ControlState {
 public:
  explicit ControlState(ControlStateOptions options);

  // Returns whether the process was paused since the last call; the caller then reads preset and
  // list again and reports back with OnPresetRead and OnListRead.
  bool OnTick(TimePoint now);

  PresetTracker::OfferResult OnPreset(uint64_t revision, std::string_view document);

  // A read of the preset or the list that was asked for by refresh `number` ended, with or without
  // an answer: when the platform is down, work goes on under what is known. Older numbers are
  // ignored, because such a read may have started before the pause.
  void OnPresetRead(uint64_t number);
  void OnListRead(uint64_t number);
  uint64_t RefreshNumber() const { return m_refresh_number; }
  bool IsRefreshing() const { return m_preset_pending || m_list_pending; }

  void OnDrain() { m_draining = true; }
  // `problem` is empty when all components work.
  void OnComponentStatus(std::string problem) { m_component_problem = std::move(problem); }

  Readiness CurrentReadiness(bool peers_refreshing) const;
  const ActivePreset& Preset() const { return m_tracker.Current(); }
  const std::string& LastPresetProblem() const { return m_tracker.LastProblem(); }
  bool Draining() const { return m_draining; }

  // A snapshot that follows `previous` (null for the first). Returns null when nothing changed.
  std::shared_ptr<const Snapshot> NextSnapshot(const Snapshot* previous,
                                               const PeerGroup& peers) const;

 private:
  const ControlStateOptions m_options;
  PresetTracker m_tracker;
  TimePoint m_last_tick;
  bool m_ticked = false;
  uint64_t m_refresh_number = 0;
  bool m_preset_pending = false;
  bool m_list_pending = false;
  bool m_draining = false;
  std::string m_component_problem;
};

}  // namespace azuregw

#endif  // SRC_CONTROL_CONTROL_STATE_H_
