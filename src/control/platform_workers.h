// Threads that make the blocking calls to the platform for the control thread.
//
// The watch thread waits on the preset key while this instance is a watcher. The read thread polls
// the list, often while this instance is a watcher, and reads the preset when that is asked for, or
// while none is known.

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

// Called on worker threads. `refresh` is the number of the latest Refresh before the call started.
struct PlatformCallbacks {
  std::function<void(PresetRecord record)> on_preset;
  std::function<void(uint64_t refresh)> on_preset_read;  // With or without an answer.
  std::function<void(std::vector<ListedInstance> list)> on_list;
  std::function<void(uint64_t refresh)> on_list_read;
  // A call failed; `what` is "preset", "list" or "watch".
  std::function<void(const char* operation, const Error& error)> on_error;
};

class PlatformWorkers {
 public:
  PlatformWorkers(const ControlOptions& options, const ControlDependencies& dependencies,
                  PlatformCallbacks callbacks);

  // The two threads, to be started and stopped by a supervisor.
  Component* WatchComponent() { return m_watch.get(); }
  Component* ReadComponent() { return m_read.get(); }

  // Thread-safe; none of them blocks.
  void SetWatching(bool watching);
  void SetPresetKnown(bool known);
  void RequestRefresh(uint64_t number);

 private:
  // Delays between failed calls: doubles from the first to the last.
  class Backoff {
   public:
    Milliseconds Next();
    void Reset() { m_delay = kInitialDelay; }

   private:
    static constexpr Milliseconds kInitialDelay{100};
    static constexpr Milliseconds kMaxDelay{2000};
    Milliseconds m_delay = kInitialDelay;
  };

  // What the read thread has to do.
  struct ReadPlan {
    uint64_t refresh = 0;
    bool need_preset = false;
    Milliseconds list_interval{0};
    friend bool operator==(const ReadPlan& a, const ReadPlan& b) {
      return a.refresh == b.refresh && a.need_preset == b.need_preset &&
             a.list_interval == b.list_interval;
    }
  };

  ReadPlan PlanReads();
  ReadPlan PlanReadsLocked() const;  // The lock is held.
  Result<void> RunWatch(const StopSignal& stop);
  Result<void> RunRead(const StopSignal& stop);
  // Returns whether the call succeeded.
  bool WatchOnce(uint64_t* after);
  bool ReadPreset(uint64_t refresh);
  void ReadList(uint64_t refresh);
  // Waits until `deadline`, a stop or `wake`; returns whether to go on.
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
  uint64_t m_requested_refresh = 0;  // Latest number asked for.

  std::unique_ptr<Component> m_watch;
  std::unique_ptr<Component> m_read;
};

}  // namespace azuregw

#endif  // SRC_CONTROL_PLATFORM_WORKERS_H_
