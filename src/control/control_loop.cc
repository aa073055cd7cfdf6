// The control thread.

#include "azuregw/control/control_loop.h"

#include <malloc.h>

#include <atomic>
#include <cassert>
#include <condition_variable>
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

// Repeats of one platform error within this time are not logged again.
constexpr std::chrono::seconds kErrorLogInterval{10};

class ControlLoopThread final : public ControlLoop {
 public:
  ControlLoopThread(const ControlOptions& options, const ControlDependencies& dependencies)
      : m_options(options),
        m_dependencies(dependencies),
        m_state({options.self, options.failure_domain, options.pause_limit, true}),
        m_workers(options, dependencies, MakeReports()) {
    MemberView self;
    self.name = options.self;
    self.failure_domain = options.failure_domain;
    m_own_peers = MakeListPeerGroup(std::move(self));
    m_peers = m_own_peers.get();
    m_last_tick = Now();
    m_thread = MakeThreadComponent(
        "control", [this](const StopSignal& stop) { return Run(stop); }, [this] { Wake(); });
    PublishState();
  }

  ~ControlLoopThread() override { Stop(); }

  // The group need not work before Start.
  void SetPeers(PeerGroup* peers) override { m_peers = peers; }

  void AddPauseListener(std::function<void()> listener) override {
    m_pause_listeners.push_back(std::move(listener));
  }

  std::vector<Component*> Components() override {
    return {m_thread.get(), m_workers.Watch(), m_workers.Read()};
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
    m_workers.Read()->Stop();
    m_workers.Watch()->Stop();
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
    // Most notices repeat what the snapshot shows already.
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
    // Only a report that contradicts the snapshot carries news.
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
    // The lock orders the raised signal before the thread's next look at it.
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_wake.notify_all();
  }

  TimePoint Now() const { return m_dependencies.clock->Now(); }

  PlatformReports MakeReports() {
    PlatformReports reports;
    reports.on_preset = [this](PresetRecord record) {
      Post([this, record = std::move(record)] {
        OfferPreset(record.revision, record.document, "key-value service");
      });
    };
    reports.on_preset_read = [this](uint64_t refresh) {
      Post([this, refresh] { m_state.OnPresetRead(refresh); });
    };
    reports.on_list = [this](std::vector<ListedInstance> list) {
      Post([this, list = std::move(list)] { m_peers->OnList(list, Now()); });
    };
    reports.on_list_read = [this](uint64_t refresh) {
      Post([this, refresh] { m_state.OnListRead(refresh); });
    };
    reports.on_error = [this](const char* what, const Error& error) {
      Post([this, what, error] { OnPlatformError(what, error); });
    };
    return reports;
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
      // Pauses are noticed before anything that was queued across them is acted on.
      const TimePoint now = Now();
      CheckPause(now);
      for (const std::function<void()>& task : tasks) {
        task();
      }
      tasks.clear();
      if (now >= next_tick) {
        m_peers->Tick(now);
        next_tick = now + m_options.tick;
        UpdateMetrics();
      }
      Publish();
    }
  }

  void CheckPause(TimePoint now) {
    const bool paused = m_state.OnTick(now);
    if (paused) {
      // Published before the tick counts as recent: IsStale must not become false in between.
      PublishState();
    }
    m_last_tick.store(now, std::memory_order_release);
    if (!paused) {
      return;
    }
    Report(LogLevel::kWarning, "pause_detected", ResultCode::kNotReady,
           "the process was paused; reading state again");
    m_workers.Refresh(m_state.RefreshNumber());
    for (const std::function<void()>& listener : m_pause_listeners) {
      listener();
    }
  }

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
        // Reading a preset of the target size needs about 10 MB for a moment; without this, glibc
        // keeps the pieces and the process grows past 32 MB within six changes.
        malloc_trim(0);
        break;
    }
  }

  void OnPlatformError(const char* what, const Error& error) {
    const TimePoint now = Now();
    if (m_error_logged.time_since_epoch().count() != 0 &&
        now - m_error_logged < kErrorLogInterval) {
      return;
    }
    m_error_logged = now;
    LogEvent(LogLevel::kWarning, kComponent, "platform_call_failed", "", error.code,
             std::string(what) + ": " + error.message);
  }

  // Makes changes of state visible to other threads.
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

  void Report(LogLevel level, std::string_view event, ResultCode code, const std::string& detail) {
    LogEvent(level, kComponent, event, "", code, detail);
    if (m_dependencies.events != nullptr) {
      m_dependencies.events->Record(kComponent, event, "", detail, code);
    }
  }

  // What a snapshot depends on, apart from the contents.
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

  // Owned by the control thread after Start.
  ControlState m_state;
  std::unique_ptr<PeerGroup> m_own_peers;
  PeerGroup* m_peers = nullptr;
  Fingerprint m_fingerprint;
  bool m_watching = false;
  TimePoint m_error_logged;

  // Written by the control thread with std::atomic_store, read by any thread with std::atomic_load.
  std::shared_ptr<const Snapshot> m_snapshot;
  std::shared_ptr<const ActivePreset> m_version = std::make_shared<const ActivePreset>();
  std::shared_ptr<const Readiness> m_readiness = std::make_shared<const Readiness>();
  std::atomic<TimePoint> m_last_tick{TimePoint()};

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<std::function<void()>> m_tasks;

  PlatformWorkers m_workers;
  std::unique_ptr<Component> m_thread;
};

}  // namespace

std::unique_ptr<ControlLoop> MakeControlLoop(const ControlOptions& options,
                                             const ControlDependencies& dependencies) {
  return std::make_unique<ControlLoopThread>(options, dependencies);
}

}  // namespace azuregw
