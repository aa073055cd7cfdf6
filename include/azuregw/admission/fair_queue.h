// Requests that wait for one target, ordered by weighted fair queueing between workspaces.

#ifndef AZUREGW_ADMISSION_FAIR_QUEUE_H_
#define AZUREGW_ADMISSION_FAIR_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/admission/admission_controller.h"

namespace azuregw {

struct WaitingRequest {
  std::string workspace;
  std::string flow;  // Requests of one flow are served in order of priority and arrival.
  int priority = 5;  // 0 (lowest) to 9.
  TimePoint deadline;
  AdmissionController::Callback done;
};

// Start-time fair queueing. A workspace's requests are served highest priority first, then in order
// of arrival; priorities never take places from other workspaces. Not thread-safe.
class FairQueue {
 public:
  static constexpr int kPriorities = 10;

  void Push(WaitingRequest request, double weight);
  // Takes the next request in fair order and charges its workspace. Null when empty.
  std::optional<WaitingRequest> Pop();
  // Charges a workspace for a request that did not have to wait.
  void Charge(const std::string& flow_name, double weight);

  // Requests that would be served before a new one of this workspace and priority.
  size_t Ahead(const std::string& flow_name, double weight, int priority) const;

  // Removes the newest request of lowest priority of the workspace that waits most beyond its
  // weight. Null when that is `arriving` itself, counted with one more request.
  std::optional<WaitingRequest> EvictFor(const std::string& arriving, double weight);

  // Removes and returns the requests for which `expired` is true.
  std::vector<WaitingRequest> RemoveIf(const std::function<bool(const WaitingRequest&)>& expired);

  size_t size() const { return m_size; }
  bool empty() const { return m_size == 0; }

  // Drops idle workspaces whose past service no longer matters.
  void Compact();

 private:
  struct Flow {
    double weight = 1;
    double next_start = 0;  // Virtual time at which its next request starts.
    size_t waiting = 0;
    std::array<std::deque<WaitingRequest>, kPriorities> requests;  // By priority.
  };

  double StartOf(const Flow& flow) const;
  void ChargeFlow(Flow* flow);
  WaitingRequest TakeFirst(Flow* flow);
  WaitingRequest TakeLast(Flow* flow);

  std::map<std::string, Flow> m_flows;
  double m_virtual_time = 0;  // Start of the request that was served last; never decreases.
  size_t m_size = 0;          // Sum of `waiting`.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_FAIR_QUEUE_H_
