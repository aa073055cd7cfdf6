// Interface of admission control, which admits, queues or refuses each request before any work
// starts.

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

// Properties of a request that decide its admission.
struct AdmissionRequest {
  std::string workspace;
  std::string target;  // "model/<name>" or "service/<name>".
  int priority = 5;    // 0 (lowest) to 9.
  TimePoint deadline;  // Deadline of the first token, or of a service's response.
  // True for work that was admitted before by an instance that has failed. Such a request is always
  // admitted immediately, because work that has started is never refused.
  bool resumed = false;
};

// Holds one unit of the target's concurrency limit until it is destroyed.
class AdmissionTicket {
 public:
  virtual ~AdmissionTicket() = default;
  // Reports the time from admission to the first token or response, which adapts the limit.
  virtual void OnFirstResult(Milliseconds latency) = 0;
  // Reports that upstreams were overloaded or timed out, which lowers the limit.
  virtual void OnOverload() = 0;
};

// Decides by workspace weights and priorities, deadlines and adaptive limits. Thread-safe; called
// by traffic threads.
class AdmissionController {
 public:
  using Callback = std::function<void(Result<std::shared_ptr<AdmissionTicket>>)>;

  virtual ~AdmissionController() = default;

  // Calls `done` exactly once: during the call, or, if the request has to wait, later from Tick or
  // when a ticket is destroyed. Errors, all not_run and with retry_after: kOverloaded,
  // kDeadlineUnreachable, kWorkspaceLimit.
  virtual void Admit(std::shared_ptr<const Snapshot> snapshot, const AdmissionRequest& request,
                     TimePoint now, Callback done) = 0;

  // Starts waiting requests that fit and refuses those whose deadline can no longer be met. Called
  // every 10 ms.
  virtual void Tick(TimePoint now) = 0;

  // Returns whether the retry budget, a percentage of first attempts, allows a retry at `target`,
  // and consumes one if it does.
  virtual bool TakeRetry(const std::string& target, TimePoint now) = 0;
};

// Creates a controller. `clock` must outlive the controller and its tickets, because destroying a
// ticket reads it.
std::unique_ptr<AdmissionController> MakeAdmissionController(const Clock& clock);
std::unique_ptr<AdmissionController> MakeAdmissionController(const Clock& clock,
                                                             const AdmissionOptions& options);

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_ADMISSION_CONTROLLER_H_
