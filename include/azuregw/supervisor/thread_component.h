// A component that consists of one thread.

#ifndef AZUREGW_SUPERVISOR_THREAD_COMPONENT_H_
#define AZUREGW_SUPERVISOR_THREAD_COMPONENT_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "azuregw/supervisor/supervisor.h"

namespace azuregw {

// Tells a thread to end. Thread-safe.
class StopSignal {
 public:
  void Raise();
  void Clear();
  bool Raised() const;
  // Returns whether the signal was raised within `time`.
  bool WaitFor(Milliseconds time) const;

 private:
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  bool m_raised = false;
};

// `body` runs on the thread until `stop` is raised. An error that it returns, an exception, or its
// end without a stop counts as a failure. `on_stop` (may be empty) runs after `stop` was raised, to
// wake a body that waits for something else.
std::unique_ptr<Component> MakeThreadComponent(
    std::string name, std::function<Result<void>(const StopSignal& stop)> body,
    std::function<void()> on_stop = {});

}  // namespace azuregw

#endif  // AZUREGW_SUPERVISOR_THREAD_COMPONENT_H_
