// State shared by the admission controller and its tickets.

#ifndef SRC_ADMISSION_ADMISSION_CORE_H_
#define SRC_ADMISSION_ADMISSION_CORE_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "azuregw/admission/adaptive_limit.h"
#include "azuregw/admission/admission_controller.h"
#include "azuregw/admission/admission_options.h"
#include "azuregw/admission/fair_queue.h"
#include "azuregw/admission/retry_budget.h"

namespace azuregw {

// Makes the admission decisions for all targets of this instance. Thread-safe with a single lock:
// an instance admits a few hundred requests per second, each of which takes microseconds. Callbacks
// run without the lock.
class AdmissionCore : public std::enable_shared_from_this<AdmissionCore> {
 public:
  AdmissionCore(const Clock& clock, const AdmissionOptions& options)
      : m_clock(clock), m_options(options) {}

  // See AdmissionController.
  void Admit(const Snapshot& snapshot, const AdmissionRequest& request, TimePoint now,
             AdmissionController::Callback done);
  void Tick(TimePoint now);
  // Refuses all waiting requests with kDraining.
  void Shutdown();
  // See AdmissionController.
  bool TakeRetry(const std::string& target, TimePoint now);

  // Called by the ticket of a request that was admitted at `admitted`.
  void OnFirstResult(const std::string& target, TimePoint admitted, Milliseconds latency);
  void OnOverload(const std::string& target);
  void Release(const std::string& target, const std::string& workspace, TimePoint admitted);

 private:
  // State of one model or service.
  struct Target {
    explicit Target(const AdmissionOptions& options)
        : limit(options.limit), queue(options.fair_credit) {}

    AdaptiveLimit limit;
    FairQueue queue;
    RetryBudget retries;
    int inflight = 0;         // Number of requests that are admitted and not yet released.
    double hold_ms = 0;       // Moving average of the time from admission to release; 0 if unknown.
    double first_ms = 0;      // Moving average of the first-result time; 0 if unknown.
    double deviation_ms = 0;  // Moving average of the distance of first-result times from first_ms.

    TimePoint last_result;

    // Returns a first-result time that few requests exceed. The estimate decays while no results
    // arrive: otherwise one latency that is too high would refuse every request, and the latency
    // would never be measured again.
    double HighFirstResultMs(TimePoint now) const;
  };
  // State of one workspace over all targets.
  struct Workspace {
    int max_inflight = 0;  // Limit of `accepted` at this instance; resumed requests are exempt.
    int accepted = 0;      // Number of its requests that wait or are admitted and not yet released.
    double weight = 1;
    int priority = 5;
    TimePoint next_retry_at;  // Latest retry time that was given to a refused caller.
  };
  using Actions = std::vector<std::function<void()>>;

  // Applies a newer snapshot; ignores one that is older or the same.
  void Configure(const Snapshot& snapshot);
  void SetCapacity(const std::string& name, Target* target) const;
  void ApplySpec(const std::string& name, Workspace* workspace) const;
  Target& FindTarget(const std::string& name);
  Workspace& FindWorkspace(const std::string& name);
  // Queues the request, or refuses it or a lower-ranked one if the queue is full.
  void Enqueue(Target* target, WaitingRequest request, double weight, double wait_ms, TimePoint now,
               Actions* actions);
  // Counts the request as in flight and schedules its callback with a ticket.
  void Start(const std::string& name, Target* target, WaitingRequest request, TimePoint now,
             Actions* actions);
  // Starts waiting requests while the limit allows it.
  void StartWaiting(const std::string& name, Target* target, TimePoint now, Actions* actions);
  // Returns the limit on requests in progress that applies to a request whose workspace is, or is
  // not, below its share.
  int InflightLimit(const Target& target, bool below_share) const;
  static void Refuse(WaitingRequest request, Error error, Actions* actions);
  // Returns the expected wait of a request with `ahead` requests before it.
  double WaitMs(const Target& target, size_t ahead) const;
  // Returns whether a first result is expected before `deadline`.
  bool CanMeetDeadline(const Target& target, double wait_ms, TimePoint deadline,
                       TimePoint now) const;
  // Returns kDeadlineUnreachable. Its retry_after is the time until the queue is short enough to
  // admit a retry with the same time to its deadline, if no other request arrives.
  Error DeadlineError(const Target& target, const std::string& workspace, double wait_ms,
                      TimePoint deadline, TimePoint now);
  // Returns the time to wait before a retry, at least `ms`. Successive refusals of one workspace
  // are spaced by its share of the service rate, so that callers do not all retry at the same time.
  Milliseconds RetryAfterHint(const Target& target, const std::string& workspace, double ms,
                              TimePoint now);
  // Runs callbacks; called without the lock.
  static void Run(Actions actions);

  const Clock& m_clock;
  const AdmissionOptions m_options;
  std::mutex m_mutex;
  // Guarded by m_mutex:
  std::shared_ptr<const Preset> m_preset;  // Preset of the newest snapshot.
  uint64_t m_preset_revision = 0;
  uint64_t m_topology_revision = 0;
  int m_instances = 1;
  std::unordered_map<std::string, double> m_capacities;  // Capacity of each target.
  std::unordered_map<std::string, Target> m_targets;
  std::unordered_map<std::string, Workspace> m_workspaces;
};

}  // namespace azuregw

#endif  // SRC_ADMISSION_ADMISSION_CORE_H_
