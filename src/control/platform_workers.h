// Worker threads that make blocking platform calls on behalf of the control thread.
//
// The watch thread watches the preset key while this instance is a watcher. The read thread polls
// the instance list, at a shorter interval while this instance is a watcher. It reads the preset
// for each refresh, and while none is known and this instance is not a watcher.

#ifndef SRC_CONTROL_PLATFORM_WORKERS_H_
#define SRC_CONTROL_PLATFORM_WORKERS_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "azuregw/control/control_loop.h"
#include "azuregw/preset/preset_record.h"
#include "azuregw/supervisor/thread_component.h"

namespace azuregw {

// Callbacks with the results of platform calls, invoked on worker threads. `refresh` is the number
// of the latest RequestRefresh before the call started.
struct PlatformCallbacks {
  std::function<void(PresetRecord record)> on_preset;
  std::function<void(uint64_t refresh)> on_preset_read;  // Called also if the read failed.
  std::function<void(std::vector<ListedInstance> list)> on_list;
  std::function<void(uint64_t refresh)> on_list_read;
  // Reports a failed call; `operation` is "preset", "list" or "watch".
  std::function<void(const char* operation, const Error& error)> on_error;
};

// Owns the watch thread and the read thread.
class PlatformWorkers {
 public:
  PlatformWorkers(const ControlOptions& options, const ControlDependencies& dependencies,
                  PlatformCallbacks callbacks);

  // Return the two threads, to be started and stopped by a supervisor or the control loop.
  Component* WatchComponent() { return m_watch.get(); }
  Component* ReadComponent() { return m_read.get(); }

  // Sets whether this instance is a watcher. Thread-safe; does not block.
  void SetWatching(bool watching);
  // Sets whether a preset is known. Thread-safe; does not block.
  void SetPresetKnown(bool known);
  // Requests a read of preset and list as refresh `number`. Thread-safe; does not block.
  void RequestRefresh(uint64_t number);

 private:
  // Exponential backoff: the delay doubles from kInitialDelay to kMaxDelay.
  class Backoff {
   public:
    // Returns the current delay and doubles it.
    Milliseconds Next();
    void Reset() { m_delay = kInitialDelay; }

   private:
    static constexpr Milliseconds kInitialDelay{100};
    static constexpr Milliseconds kMaxDelay{2000};
    Milliseconds m_delay = kInitialDelay;
  };

  // Inputs of the read thread's next pass.
  struct ReadPlan {
    uint64_t refresh = 0;      // Number of the latest requested refresh.
    bool need_preset = false;  // Whether to read the preset until one is known.
    Milliseconds list_interval{0};
    friend bool operator==(const ReadPlan& a, const ReadPlan& b) {
      return a.refresh == b.refresh && a.need_preset == b.need_preset &&
             a.list_interval == b.list_interval;
    }
  };

  ReadPlan PlanReads();
  ReadPlan PlanReadsLocked() const;  // Requires m_mutex.
  Result<void> RunWatch(const StopSignal& stop);
  Result<void> RunRead(const StopSignal& stop);
  // Watches for preset changes after revision `after` and updates it. Returns whether the call
  // succeeded.
  bool WatchOnce(uint64_t* after);
  // Reads the preset. Returns whether the call succeeded.
  bool ReadPreset(uint64_t refresh);
  void ReadList(uint64_t refresh);
  // Waits for `deadline`, the stop signal or `wake_condition`. Returns false after the stop signal.
  bool WaitUntil(const StopSignal& stop, TimePoint deadline,
                 const std::function<bool()>& wake_condition);
  void WakeAll();

  const ControlOptions m_options;
  const ControlDependencies m_dependencies;
  const PlatformCallbacks m_callbacks;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_watching = false;
  bool m_preset_known = false;
  uint64_t m_requested_refresh = 0;  // Number of the latest requested refresh.

  std::unique_ptr<Component> m_watch;
  std::unique_ptr<Component> m_read;
};

}  // namespace azuregw

#endif  // SRC_CONTROL_PLATFORM_WORKERS_H_
