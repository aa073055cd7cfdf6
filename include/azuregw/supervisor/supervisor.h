// A tree of components inside one process. A component that fails is started again with back-off;
// one that fails too often is reported, so that the instance is taken out of service.

#ifndef AZUREGW_SUPERVISOR_SUPERVISOR_H_
#define AZUREGW_SUPERVISOR_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/supervisor/restart_policy.h"

namespace azuregw {

class Component {
 public:
  using FailureHandler = std::function<void(Error)>;

  virtual ~Component() = default;
  virtual std::string Name() const = 0;
  // Starts the component's threads and returns. `on_failure` may be called from any thread, at most
  // once per start, when the component can't go on; it must not be called from Start or Stop.
  virtual Result<void> Start(FailureHandler on_failure) = 0;
  // Ends the component's threads. May be called after a failure, and is followed by Start again.
  virtual void Stop() = 0;
};

// Starts its children in order and stops them in reverse order. A supervisor is a component, so
// supervisors form a tree; its own failure is never reported upwards, because it restarts children
// without end.
class Supervisor : public Component {
 public:
  // The component must outlive the supervisor. Before Start.
  virtual void Add(Component* component, const RestartOptions& options) = 0;
  // Called when the set of children that fail too often changes; `problem` names them and is empty
  // when there are none. Before Start. Runs on the supervisor's thread.
  virtual void SetProblemHandler(std::function<void(std::string problem)> handler) = 0;
};

std::unique_ptr<Supervisor> MakeSupervisor(std::string name, const Clock& clock);

}  // namespace azuregw

#endif  // AZUREGW_SUPERVISOR_SUPERVISOR_H_
