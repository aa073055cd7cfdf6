// State behind the admission controller and its tickets.

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

// Thread-safe. One lock covers everything: an instance admits a few hundred requests per second,
// and each takes microseconds. Callbacks run without the lock.
class AdmissionCore : public std::enable_shared_from_this<AdmissionCore> {
 public:
  AdmissionCore(const Clock& clock, const AdmissionOptions& options)
      : m_clock(clock), m_options(options) {}

  void Admit(const Snapshot& snapshot, const AdmissionRequest& request, TimePoint now,
             AdmissionController::Callback done);
  void Tick(TimePoint now);
  // Refuses all waiting requests.
  void Shutdown();
  bool TakeRetry(const std::string& target, TimePoint now);

  // From tickets.
  void OnFirstResult(const std::string& target, TimePoint admitted, Milliseconds latency);
  void OnOverload(const std::string& target);
  void Release(const std::string& target, const std::string& workspace, TimePoint admitted);

 private:
  struct Target {
    explicit Target(const AdmissionOptions& options)
        : limit(options.limit), queue(options.fair_credit) {}

    AdaptiveLimit limit;
    FairQueue queue;
    RetryBudget retries;
    int inflight = 0;         // Admitted and not yet released.
    double hold_ms = 0;       // Moving average from admission to release; 0 when unknown.
    double first_ms = 0;      // Moving average of the first result; 0 when unknown.
    double deviation_ms = 0;  // Moving average of its distance from first_ms.

    TimePoint last_result;

    // First-result time that few requests exceed. It fades while no results arrive: otherwise a
    // latency that was once too high would refuse every request, and never be measured again.
    double LateFirstMs(TimePoint now) const;
  };
  struct Workspace {
    int max_inflight = 0;  // Of this instance.
    int accepted = 0;      // Admitted or waiting.
    double weight = 1;
    int priority = 5;
    TimePoint promised;  // Until then, refused callers were told to come back one by one.
  };
  using Actions = std::vector<std::function<void()>>;

  void Configure(const Snapshot& snapshot);
  void SetCapacity(const std::string& name, Target* target) const;
  void ApplySpec(const std::string& name, Workspace* workspace) const;
  Target& FindTarget(const std::string& name);
  Workspace& FindWorkspace(const std::string& name);
  void Enqueue(Target* target, WaitingRequest request, double weight, double wait_ms, TimePoint now,
               Actions* actions);
  void Start(const std::string& name, Target* target, WaitingRequest request, TimePoint now,
             Actions* actions);
  void StartWaiting(const std::string& name, Target* target, TimePoint now, Actions* actions);
  // Requests that may be in progress when the next one belongs to a workspace below its share, or
  // not.
  int Places(const Target& target, bool below_share) const;
  static void Refuse(WaitingRequest request, Error error, Actions* actions);
  // Expected time until a request with `ahead` others before it gets a place.
  double WaitMs(const Target& target, size_t ahead) const;
  bool CanMeet(const Target& target, double wait_ms, TimePoint deadline, TimePoint now) const;
  // The hint is the time until the queue has shrunk so far that a repeat with the same time to its
  // deadline would be admitted, if no other request arrived.
  Error TooLate(const Target& target, const std::string& workspace, double wait_ms,
                TimePoint deadline, TimePoint now);
  // Time to wait before a repeat, `ms` at least. Callers of one workspace that are refused in a row
  // are spread out by its share of the service rate, so that they do not all return at once.
  Milliseconds Hint(const Target& target, const std::string& workspace, double ms, TimePoint now);
  static void Run(Actions actions);

  const Clock& m_clock;
  const AdmissionOptions m_options;
  std::mutex m_mutex;
  // Guarded by m_mutex:
  std::shared_ptr<const Preset> m_preset;  // Of the newest snapshot.
  uint64_t m_preset_revision = 0;
  uint64_t m_topology_revision = 0;
  int m_instances = 1;
  std::unordered_map<std::string, double> m_capacities;
  std::unordered_map<std::string, Target> m_targets;
  std::unordered_map<std::string, Workspace> m_workspaces;
};

}  // namespace azuregw

#endif  // SRC_ADMISSION_ADMISSION_CORE_H_
