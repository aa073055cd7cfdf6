// Admits or refuses requests before any work: workspace weights and priorities, deadlines, adaptive
// limits. Thread-safe; called by traffic threads.

#ifndef AZUREGW_ADMISSION_ADMISSION_CONTROLLER_H_
#define AZUREGW_ADMISSION_ADMISSION_CONTROLLER_H_

#include <functional>
#include <memory>
#include <string>

#include "azuregw/admission/admission_options.h"
#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/control/snapshot.h"

namespace azuregw {

struct AdmissionRequest {
  std::string workspace;
  std::string target;  // "model/<name>" or "service/<name>".
  int priority = 5;    // 0 (lowest) to 9.
  TimePoint deadline;  // Of the first token, or of a service's answer.
  // Continues work that was admitted before, at an instance that is lost; always admitted at once,
  // because nothing is refused after its work has started.
  bool resumed = false;
};

// Occupies a place until it is destroyed.
class AdmissionTicket {
 public:
  virtual ~AdmissionTicket() = default;
  // Reports the time from admission to the first token (or answer); feeds the adaptive limit.
  virtual void OnFirstResult(Milliseconds latency) = 0;
  // The work failed because its upstreams were overloaded or timed out; lowers the limit.
  virtual void OnOverload() = 0;
};

class AdmissionController {
 public:
  using Callback = std::function<void(Result<std::shared_ptr<AdmissionTicket>>)>;

  virtual ~AdmissionController() = default;

  // Calls `done` exactly once: at once, or later from Release/Tick when the request waited. Errors,
  // all not_run and with retry_after: kOverloaded, kDeadlineUnreachable, kWorkspaceLimit.
  virtual void Admit(std::shared_ptr<const Snapshot> snapshot, const AdmissionRequest& request,
                     TimePoint now, Callback done) = 0;

  // Refuses waiting requests whose deadline can no longer be met. Called every 10 ms.
  virtual void Tick(TimePoint now) = 0;

  // Whether a retry is allowed by the budget (retries as a share of first attempts).
  virtual bool TakeRetry(const std::string& target, TimePoint now) = 0;
};

// `clock` must outlive the controller and its tickets; it is read when a ticket is destroyed.
std::unique_ptr<AdmissionController> MakeAdmissionController(const Clock& clock);
std::unique_ptr<AdmissionController> MakeAdmissionController(const Clock& clock,
                                                             const AdmissionOptions& options);

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADMISSION_CONTROLLER_H_
