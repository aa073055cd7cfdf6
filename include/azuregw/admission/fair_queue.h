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

  // `credit`: requests that a workspace may be served ahead of its share after it used less than
  // its share. Without credit, a small workspace whose requests arrive in pairs would be refused
  // while it is below its share.
  explicit FairQueue(double credit) : m_credit(credit) {}

  void Push(WaitingRequest request, double weight);
  // Takes the next request in fair order and charges its workspace. Null when empty.
  std::optional<WaitingRequest> Pop();
  // Charges a workspace for a request that did not have to wait.
  void Charge(const std::string& flow_name, double weight);

  // Whether the workspace has used less than its share lately, by one request at least.
  bool BelowShare(const std::string& flow_name, double weight) const;
  // The same for the workspace whose request Pop would take; false when empty.
  bool NextIsBelowShare() const;
  // Workspaces that were served or waited lately.
  size_t FlowCount() const { return m_flows.size(); }

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
  double Credit(const Flow& flow) const { return m_credit / flow.weight; }
  const Flow* Next() const;
  void ChargeFlow(Flow* flow);
  WaitingRequest TakeFirst(Flow* flow);
  WaitingRequest TakeLast(Flow* flow);

  const double m_credit;
  std::map<std::string, Flow> m_flows;
  double m_virtual_time = 0;  // Largest start of a served request.
  size_t m_size = 0;          // Sum of `waiting`.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_FAIR_QUEUE_H_
