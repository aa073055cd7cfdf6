// Discrete-event simulation of instances that admit requests to one shared pool of upstreams.
//
// The pool runs a fixed number of requests and queues the others in order of arrival. Each request
// produces its first result a fixed time after it starts and then occupies the pool for its hold
// time. Instances do not know each other's load.

#ifndef TESTS_ADMISSION_OVERLOAD_SIMULATION_H_
#define TESTS_ADMISSION_OVERLOAD_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azuregw/admission/admission_controller.h"
#include "azuregw/base/random.h"

namespace azuregw {

// Load of one workspace; arrivals are a Poisson process.
struct Demand {
  std::string workspace;
  double requests_per_s = 0;
  double weight = 1;
  int max_inflight = 100000;
};

// Parameters of one simulation run.
struct OverloadOptions {
  uint64_t seed = 1;
  int instances = 9;
  double first_instance_share = 1.0 / 9;  // Fraction of all requests; the others share the rest.
  int preset_capacity = 112;              // Capacity according to the preset.
  int real_capacity = 112;                // Actual capacity of the pool.
  double first_result_ms = 200;
  double hold_ms = 2000;  // Mean of an exponential; from the first result to the end.
  double deadline_ms = 1000;
  double seconds = 120;       // Simulated time.
  double warm_up_s = 40;      // Requests that arrive earlier are not counted.
  bool use_admission = true;  // If false, every request enters the pool.
  double burst = 1;           // Factor on the demand between burst_from_s and burst_to_s.
  double burst_from_s = 0;
  double burst_to_s = 0;
  bool retry_after_refusal = false;  // Refused callers retry once, after retry_after.
  AdmissionOptions admission;
};

// Request counts of one workspace after the warm-up.
struct WorkspaceFigures {
  int offered = 0;  // Arrivals, without retries.
  int in_time = 0;  // First result before the deadline.
  int late = 0;     // First result after the deadline.
  int refused = 0;  // First attempts only.
};

// Results of one simulation run.
struct OverloadFigures {
  std::map<std::string, WorkspaceFigures> workspaces;
  double goodput_per_s = 0;  // First results before the deadline.
  double late_per_s = 0;
  double refused_per_s = 0;
  double refusal_wait_mean_ms = 0;  // From arrival to refusal.
  double first_result_p95_ms = 0;   // From arrival, of admitted requests.
  int retries = 0;                  // Retries after a refusal.
  int retries_in_time = 0;          // Retries with a first result before the deadline.
};

// Runs one AdmissionController per instance in simulated time. Deterministic for a given seed.
class OverloadSimulation {
 public:
  OverloadSimulation(const OverloadOptions& options, std::vector<Demand> demands);
  // Runs the simulation once and returns its results.
  OverloadFigures Run();

  // Returns the number of requests per second that the pool can complete.
  double CapacityPerS() const;

 private:
  class SimulationClock final : public Clock {
   public:
    TimePoint Now() const override { return now; }
    int64_t WallMs() const override { return 0; }
    TimePoint now{std::chrono::hours(1)};
  };
  struct Request {
    std::string workspace;
    size_t instance;
    double arrived;
    bool is_retry = false;
    std::shared_ptr<AdmissionTicket> ticket;
    double admitted = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Event {
    double at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  // Schedules an action at a simulated time.
  void At(double seconds, std::function<void()> action);
  // Schedules the next arrival of a workspace.
  void Arrive(const Demand& demand);
  void Submit(const RequestPtr& request);
  void OnRefused(const RequestPtr& request, const Error& error);
  void EnqueueInPool(const RequestPtr& request);
  void StartInPool(const RequestPtr& request);
  void FirstResult(const RequestPtr& request);
  void FinishInPool(const RequestPtr& request);
  void Tick();
  // Returns whether a request counts in the results.
  bool Measured(const Request& request) const { return request.arrived >= m_options.warm_up_s; }

  const OverloadOptions m_options;
  const std::vector<Demand> m_demands;
  std::unique_ptr<Random> m_random;
  SimulationClock m_clock;
  std::shared_ptr<const Snapshot> m_snapshot;
  double m_now = 0;
  uint64_t m_next_event = 0;
  std::vector<Event> m_events;  // Heap.
  int m_running = 0;
  std::deque<RequestPtr> m_pool_queue;
  OverloadFigures m_figures;
  std::vector<double> m_first_ms;
  double m_refusal_wait_ms = 0;
  int m_refusals = 0;
  std::vector<std::unique_ptr<AdmissionController>> m_controllers;  // Last: destroying calls back.
};

}  // namespace azuregw

#endif  // TESTS_ADMISSION_OVERLOAD_SIMULATION_H_
