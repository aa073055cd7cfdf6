// Component with one thread.

#include "azuregw/supervisor/thread_component.h"

#include <exception>
#include <thread>
#include <utility>

namespace azuregw {
namespace {

class ThreadComponent final : public Component {
 public:
  ThreadComponent(std::string name, std::function<Result<void>(const StopSignal&)> body,
                  std::function<void()> on_stop)
      : m_name(std::move(name)), m_body(std::move(body)), m_on_stop(std::move(on_stop)) {}

  ~ThreadComponent() override { Stop(); }

  std::string Name() const override { return m_name; }

  Result<void> Start(FailureHandler on_failure) override {
    m_stop.Clear();
    m_thread = std::thread([this, on_failure = std::move(on_failure)] { Run(on_failure); });
    return boost::outcome_v2::success();
  }

  void Stop() override {
    m_stop.Raise();
    if (m_on_stop) {
      m_on_stop();
    }
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

 private:
  void Run(const FailureHandler& on_failure) {
    const Result<void> result = RunBody();
    if (!m_stop.Raised()) {
      on_failure(result ? NotRun(ResultCode::kInternal, m_name + " ended without a stop")
                        : result.error());
    }
  }

  Result<void> RunBody() {
    try {
      return m_body(m_stop);
    } catch (const std::exception& error) {
      return NotRun(ResultCode::kInternal, m_name + ": " + error.what());
    }
  }

  const std::string m_name;
  const std::function<Result<void>(const StopSignal&)> m_body;
  const std::function<void()> m_on_stop;
  StopSignal m_stop;
  std::thread m_thread;
};

}  // namespace

void StopSignal::Raise() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_raised = true;
  }
  m_changed.notify_all();
}

void StopSignal::Clear() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_raised = false;
}

bool StopSignal::Raised() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_raised;
}

bool StopSignal::WaitFor(Milliseconds time) const {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_changed.wait_for(lock, time, [this] { return m_raised; });
}

std::unique_ptr<Component> MakeThreadComponent(
    std::string name, std::function<Result<void>(const StopSignal& stop)> body,
    std::function<void()> on_stop) {
  return std::make_unique<ThreadComponent>(std::move(name), std::move(body), std::move(on_stop));
}

}  // namespace azuregw
