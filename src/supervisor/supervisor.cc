// Supervision of components by one thread.

#include "azuregw/supervisor/supervisor.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "azuregw/logging/log.h"

namespace azuregw {
namespace {

// A failing child is looked at again this often, to notice that its window has passed.
constexpr Milliseconds kCheckInterval{1000};

class ThreadSupervisor final : public Supervisor {
 public:
  ThreadSupervisor(std::string name, const Clock& clock)
      : m_name(std::move(name)), m_clock(clock) {}

  ~ThreadSupervisor() override { Stop(); }

  void Add(Component* component, const RestartOptions& options) override {
    m_children.push_back(std::make_unique<Child>(component, options));
  }

  void SetProblemHandler(std::function<void(std::string)> handler) override {
    m_on_problem = std::move(handler);
  }

  std::string Name() const override { return m_name; }

  // A child that fails its first start fails the supervisor: wrong settings must end the process.
  Result<void> Start(FailureHandler /*on_failure*/) override {
    for (size_t i = 0; i < m_children.size(); ++i) {
      const Result<void> started = StartChild(m_children[i].get());
      if (!started) {
        StopChildren(i);
        return started.error();
      }
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopped = false;
    }
    m_thread = std::thread([this] { Run(); });
    return boost::outcome_v2::success();
  }

  void Stop() override {
    if (!m_thread.joinable()) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopped = true;
    }
    m_wake.notify_all();
    m_thread.join();
    StopChildren(m_children.size());
  }

 private:
  struct Child {
    Child(Component* child, const RestartOptions& options) : component(child), policy(options) {}
    Component* component;
    RestartPolicy policy;                 // Used by the supervisor's thread.
    std::optional<Error> failure;         // Not yet handled; under m_mutex.
    std::optional<TimePoint> restart_at;  // Used by the supervisor's thread.
  };

  Result<void> StartChild(Child* child) {
    return child->component->Start([this, child](Error error) {
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        child->failure = std::move(error);
      }
      m_wake.notify_all();
    });
  }

  void StopChildren(size_t count) {
    for (size_t i = count; i > 0; --i) {
      m_children[i - 1]->component->Stop();
    }
  }

  void Run() {
    while (true) {
      {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait_until(lock, NextWake(), [this] { return m_stopped || HasFailure(); });
        if (m_stopped) {
          return;
        }
      }
      for (const std::unique_ptr<Child>& child : m_children) {
        Step(child.get());
      }
      ReportProblems();
    }
  }

  bool HasFailure() const {
    return std::any_of(m_children.begin(), m_children.end(),
                       [](const auto& child) { return child->failure.has_value(); });
  }

  TimePoint NextWake() const {
    TimePoint wake = m_clock.Now() + kCheckInterval;
    for (const std::unique_ptr<Child>& child : m_children) {
      if (child->restart_at) {
        wake = std::min(wake, *child->restart_at);
      }
    }
    return wake;
  }

  void Step(Child* child) {
    std::optional<Error> failure;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      failure.swap(child->failure);
    }
    if (failure) {
      child->component->Stop();
      ScheduleRestart(child, *failure);
    }
    if (!child->restart_at || *child->restart_at > m_clock.Now()) {
      return;
    }
    child->restart_at.reset();
    const Result<void> started = StartChild(child);
    if (!started) {
      ScheduleRestart(child, started.error());
    }
  }

  void ScheduleRestart(Child* child, const Error& error) {
    const TimePoint now = m_clock.Now();
    const Milliseconds delay = child->policy.OnFailure(now);
    child->restart_at = now + delay;
    LogEvent(LogLevel::kError, "supervisor", "component_failed", "", error.code,
             child->component->Name() + ": " + error.message + "; starting again in " +
                 std::to_string(delay.count()) + " ms");
  }

  void ReportProblems() {
    std::string problem;
    for (const std::unique_ptr<Child>& child : m_children) {
      if (child->policy.FailsTooOften(m_clock.Now())) {
        problem += problem.empty() ? "fails too often: " : ", ";
        problem += child->component->Name();
      }
    }
    if (problem != m_problem && m_on_problem) {
      m_on_problem(problem);
    }
    m_problem = std::move(problem);
  }

  const std::string m_name;
  const Clock& m_clock;
  std::vector<std::unique_ptr<Child>> m_children;
  std::function<void(std::string)> m_on_problem;
  std::string m_problem;

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace

std::unique_ptr<Supervisor> MakeSupervisor(std::string name, const Clock& clock) {
  return std::make_unique<ThreadSupervisor>(std::move(name), clock);
}

}  // namespace azuregw
