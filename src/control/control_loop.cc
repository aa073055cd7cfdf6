// Control thread: runs queued tasks, detects pauses and publishes snapshots.

#include "azuregw/control/control_loop.h"

#include <malloc.h>

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <cstddef>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

#include "azuregw/logging/log.h"
#include "azuregw/supervisor/thread_component.h"
#include "control/control_state.h"
#include "control/platform_workers.h"
#include "metrics/process_usage.h"

namespace azuregw {
namespace {

constexpr std::string_view kComponent = "control";

// Minimum interval between logged platform errors.
constexpr std::chrono::seconds kErrorLogInterval{10};

// ControlLoop on a thread of its own, with the platform workers.
class ControlLoopThread final : public ControlLoop {
 public:
  ControlLoopThread(const ControlOptions& options, const ControlDependencies& dependencies)
      : m_options(options),
        m_dependencies(dependencies),
        m_state({options.self, options.failure_domain, options.pause_limit, true}),
        m_workers(options, dependencies, MakeCallbacks()) {
    MemberView self;
    self.name = options.self;
    self.failure_domain = options.failure_domain;
    m_default_peers = MakeListPeerGroup(std::move(self));
    m_peers = m_default_peers.get();
    m_last_tick = Now();
    m_thread = MakeThreadComponent(
        "control", [this](const StopSignal& stop) { return Run(stop); }, [this] { Wake(); });
    PublishState();
  }

  ~ControlLoopThread() override { Stop(); }

  // The group is not called before Start.
  void SetPeers(PeerGroup* peers) override { m_peers = peers; }

  void AddPauseListener(std::function<void()> listener) override {
    m_pause_listeners.push_back(std::move(listener));
  }

  std::vector<Component*> Components() override {
    return {m_thread.get(), m_workers.WatchComponent(), m_workers.ReadComponent()};
  }

  void Start() override {
    for (Component* component : Components()) {
      const Result<void> started = component->Start([](const Error& error) {
        LogEvent(LogLevel::kError, kComponent, "component_failed", "", error.code, error.message);
      });
      assert(started);
    }
  }

  void Stop() override {
    m_workers.ReadComponent()->Stop();
    m_workers.WatchComponent()->Stop();
    m_thread->Stop();
  }

  void Post(std::function<void()> task) override {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
  }

  void OnPresetFromPeer(uint64_t revision, std::string document) override {
    Post([this, revision, document = std::move(document)] {
      OfferPreset(revision, document, "peer");
    });
  }

  void OnComponentStatus(std::string problem) override {
    Post([this, problem = std::move(problem)] { m_state.OnComponentStatus(problem); });
  }

  void OnUpstreamLeaving(const std::string& upstream) override {
    // Most calls concern an upstream that the snapshot already lists as leaving.
    if (Current()->leaving_upstreams.count(upstream) != 0) {
      return;
    }
    Post([this, upstream] {
      if (m_peers->LeavingUpstreams().count(upstream) == 0) {
        Report(LogLevel::kInfo, "upstream_leaving", ResultCode::kUpstreamLeaving, upstream);
      }
      m_peers->MarkUpstreamLeaving(upstream, Now());
    });
  }

  void OnUpstreamReport(const std::string& upstream, bool leaving,
                        int64_t measured_wall_ms) override {
    // A report that agrees with the snapshot changes nothing.
    if ((Current()->leaving_upstreams.count(upstream) != 0) == leaving) {
      return;
    }
    Post([this, upstream, leaving, measured_wall_ms] {
      m_peers->OnUpstreamReport(upstream, leaving, measured_wall_ms, Now());
    });
  }

  void OnUpstreamReturned(const std::string& upstream) override {
    Post([this, upstream] { m_peers->ReturnUpstream(upstream, Now()); });
  }

  void BeginDrain() override {
    Post([this] {
      if (m_state.Draining()) {
        return;
      }
      m_state.OnDrain();
      m_peers->AnnounceLeaving(Now());
      Report(LogLevel::kInfo, "drain_begun", ResultCode::kDraining, "no longer ready");
    });
  }

  std::shared_ptr<const Snapshot> Current() const override { return std::atomic_load(&m_snapshot); }

  bool IsStale(TimePoint now) const override {
    return now - m_last_tick.load(std::memory_order_acquire) > m_options.pause_limit ||
           Current()->refreshing;
  }

  ActivePreset CurrentPreset() const override { return *std::atomic_load(&m_version); }

  Readiness CurrentReadiness() const override { return *std::atomic_load(&m_readiness); }

 private:
  void Wake() {
    // The lock prevents a lost wakeup between the thread's check of the signal and its wait.
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_wake.notify_all();
  }

  TimePoint Now() const { return m_dependencies.clock->Now(); }

  PlatformCallbacks MakeCallbacks() {
    PlatformCallbacks callbacks;
    callbacks.on_preset = [this](PresetRecord record) {
      Post([this, record = std::move(record)] {
        OfferPreset(record.revision, record.document, "key-value service");
      });
    };
    callbacks.on_preset_read = [this](uint64_t refresh) {
      Post([this, refresh] { m_state.OnPresetRead(refresh); });
    };
    callbacks.on_list = [this](std::vector<ListedInstance> list) {
      Post([this, list = std::move(list)] { m_peers->OnList(list, Now()); });
    };
    callbacks.on_list_read = [this](uint64_t refresh) {
      Post([this, refresh] { m_state.OnListRead(refresh); });
    };
    callbacks.on_error = [this](const char* operation, const Error& error) {
      Post([this, operation, error] { OnPlatformError(operation, error); });
    };
    return callbacks;
  }

  // Runs and removes the tasks. If one throws, those after it are queued again before the exception
  // ends the thread, since the thread that is started next has to run them.
  void RunTasks(std::vector<std::function<void()>>* tasks) {
    for (size_t i = 0; i < tasks->size(); ++i) {
      try {
        (*tasks)[i]();
      } catch (...) {
        const auto rest = tasks->begin() + static_cast<std::ptrdiff_t>(i) + 1;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.insert(m_tasks.begin(), std::make_move_iterator(rest),
                       std::make_move_iterator(tasks->end()));
        throw;
      }
    }
    tasks->clear();
  }

  Result<void> Run(const StopSignal& stop) {
    TimePoint next_tick = Now();
    std::vector<std::function<void()>> tasks;
    while (true) {
      {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait_for(lock, next_tick - Now(), [&] { return stop.Raised() || !m_tasks.empty(); });
        tasks.swap(m_tasks);
      }
      if (stop.Raised()) {
        return boost::outcome_v2::success();
      }
      // A pause is detected before the tasks that were queued across it run.
      const TimePoint now = Now();
      DetectPause(now);
      RunTasks(&tasks);
      if (now >= next_tick) {
        m_peers->Tick(now);
        next_tick = now + m_options.tick;
        UpdateMetrics();
      }
      Publish();
    }
  }

  // Starts a refresh and runs the pause listeners if the process was paused.
  void DetectPause(TimePoint now) {
    const bool paused = m_state.OnTick(now);
    if (paused) {
      // Published before m_last_tick is updated, so that IsStale does not become false in between.
      PublishState();
    }
    m_last_tick.store(now, std::memory_order_release);
    if (!paused) {
      return;
    }
    Report(LogLevel::kWarning, "pause_detected", ResultCode::kNotReady,
           "process pause detected; refreshing preset and instance list");
    m_workers.RequestRefresh(m_state.RefreshNumber());
    for (const std::function<void()>& listener : m_pause_listeners) {
      listener();
    }
  }

  // Applies a preset version if it is valid and newer; `source` is for the log.
  void OfferPreset(uint64_t revision, const std::string& document, const char* source) {
    switch (m_state.OnPreset(revision, document)) {
      case PresetTracker::OfferResult::kStale:
        break;
      case PresetTracker::OfferResult::kInvalid:
        Report(LogLevel::kError, "preset_refused", ResultCode::kPresetInvalid,
               "revision " + std::to_string(revision) + ": " + m_state.LastPresetProblem());
        break;
      case PresetTracker::OfferResult::kApplied:
        Report(LogLevel::kInfo, "preset_applied", ResultCode::kOk,
               "revision " + std::to_string(revision) + " from " + source);
        std::atomic_store(&m_version, std::make_shared<const ActivePreset>(m_state.Preset()));
        m_workers.SetPresetKnown(true);
        m_peers->PublishPreset(m_state.Preset(), Now());
        // Parsing a preset of the target size temporarily needs about 10 MB. Without trimming,
        // glibc retains the freed memory and the process exceeds 32 MB within six preset changes.
        malloc_trim(0);
        break;
    }
  }

  void OnPlatformError(const char* operation, const Error& error) {
    const TimePoint now = Now();
    if (m_last_error_log.time_since_epoch().count() != 0 &&
        now - m_last_error_log < kErrorLogInterval) {
      return;
    }
    m_last_error_log = now;
    LogEvent(LogLevel::kWarning, kComponent, "platform_call_failed", "", error.code,
             std::string(operation) + ": " + error.message);
  }

  // Publishes state changes to other threads and adjusts the workers.
  void Publish() {
    const bool watching = m_peers->IsWatcher();
    if (watching != m_watching) {
      m_watching = watching;
      m_workers.SetWatching(watching);
    }
    PublishState();
  }

  void PublishState() {
    PublishReadiness();
    const Fingerprint fingerprint = {m_peers, m_peers->Version(), m_state.Preset().revision,
                                     m_state.Draining(),
                                     m_state.IsRefreshing() || m_peers->IsRefreshing()};
    if (m_snapshot != nullptr && fingerprint == m_fingerprint) {
      return;
    }
    m_fingerprint = fingerprint;
    std::shared_ptr<const Snapshot> next = m_state.NextSnapshot(m_snapshot.get(), *m_peers);
    if (next != nullptr) {
      std::atomic_store(&m_snapshot, std::move(next));
    }
  }

  void PublishReadiness() {
    Readiness next = m_state.CurrentReadiness(m_peers->IsRefreshing());
    const Readiness& current = *m_readiness;
    if (next.ready == current.ready && next.code == current.code &&
        next.message == current.message) {
      return;
    }
    Report(LogLevel::kInfo, next.ready ? "ready" : "not_ready", next.code, next.message);
    std::atomic_store(&m_readiness, std::make_shared<const Readiness>(std::move(next)));
  }

  void UpdateMetrics() {
    if (m_dependencies.metrics == nullptr) {
      return;
    }
    Metrics& metrics = *m_dependencies.metrics;
    metrics.Set("azuregw_preset_revision", "", static_cast<double>(m_state.Preset().revision));
    metrics.Set("azuregw_ready", "", m_readiness->ready ? 1 : 0);
    metrics.Set("azuregw_members", "", static_cast<double>(m_snapshot->members.size()));
    metrics.Set("azuregw_control_cpu_seconds", "", ThreadCpuSeconds());
  }

  // Logs an event and records it in the timeline.
  void Report(LogLevel level, std::string_view event, ResultCode code, const std::string& detail) {
    LogEvent(level, kComponent, event, "", code, detail);
    if (m_dependencies.events != nullptr) {
      m_dependencies.events->Record(kComponent, event, "", detail, code);
    }
  }

  // Versions of the inputs of a snapshot, to skip building an unchanged one.
  struct Fingerprint {
    const PeerGroup* peers = nullptr;
    uint64_t peers_version = 0;
    uint64_t preset_revision = 0;
    bool draining = false;
    bool refreshing = false;
    friend bool operator==(const Fingerprint& a, const Fingerprint& b) {
      return a.peers == b.peers && a.peers_version == b.peers_version &&
             a.preset_revision == b.preset_revision && a.draining == b.draining &&
             a.refreshing == b.refreshing;
    }
  };

  const ControlOptions m_options;
  const ControlDependencies m_dependencies;
  std::vector<std::function<void()>> m_pause_listeners;

  // Accessed only by the control thread after Start.
  ControlState m_state;
  std::unique_ptr<PeerGroup> m_default_peers;
  PeerGroup* m_peers = nullptr;
  Fingerprint m_fingerprint;
  bool m_watching = false;     // Watcher role last passed to the workers.
  TimePoint m_last_error_log;  // Time of the last logged platform error.

  // Written by the control thread with std::atomic_store, read by other threads with
  // std::atomic_load.
  std::shared_ptr<const Snapshot> m_snapshot;
  std::shared_ptr<const ActivePreset> m_version = std::make_shared<const ActivePreset>();
  std::shared_ptr<const Readiness> m_readiness = std::make_shared<const Readiness>();
  std::atomic<TimePoint> m_last_tick{TimePoint()};

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<std::function<void()>> m_tasks;  // Guarded by m_mutex.

  PlatformWorkers m_workers;
  std::unique_ptr<Component> m_thread;
};

}  // namespace

std::unique_ptr<ControlLoop> MakeControlLoop(const ControlOptions& options,
                                             const ControlDependencies& dependencies) {
  return std::make_unique<ControlLoopThread>(options, dependencies);
}

}  // namespace azuregw
