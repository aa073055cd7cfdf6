// Queue of the requests that wait for one target, with weighted fair queueing between workspaces.

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

// A queued request and the callback that receives its result.
struct WaitingRequest {
  std::string workspace;
  std::string flow;  // Key of fair queueing: the workspace, or empty for one common flow.
  int priority = 5;  // 0 (lowest) to 9.
  TimePoint deadline;
  AdmissionController::Callback done;
};

// Start-time fair queueing (SFQ) with one flow per workspace. Requests of one flow are served
// highest priority first, then in order of arrival; a priority has no effect on other flows. Not
// thread-safe.
class FairQueue {
 public:
  static constexpr int kPriorityCount = 10;

  // `credit` is the number of requests that a flow may be served ahead of its share after it used
  // less than its share. Without credit, a small workspace whose requests arrive in pairs would be
  // refused although it is below its share.
  explicit FairQueue(double credit) : m_credit(credit) {}

  // Appends a request to its flow and sets the weight of the flow.
  void Push(WaitingRequest request, double weight);
  // Removes the next request in fair order and charges its flow. Returns nullopt if the queue is
  // empty.
  std::optional<WaitingRequest> Pop();
  // Charges a flow for a request that was served without waiting.
  void Charge(const std::string& flow_name, double weight);

  // Returns whether the recent service of the flow is at least one request below its share.
  bool BelowShare(const std::string& flow_name, double weight) const;
  // Returns whether the flow that Pop would serve next is at least one request below its share;
  // false if the queue is empty.
  bool NextIsBelowShare() const;
  // Returns the number of flows that were served recently or have waiting requests.
  size_t FlowCount() const { return m_flows.size(); }

  // Returns the number of requests that would be served before a new one of this flow and priority.
  size_t CountAhead(const std::string& flow_name, double weight, int priority) const;

  // Makes room for a request of the flow `arriving`: removes the newest request of lowest priority
  // from the flow with the most waiting requests relative to its weight. Returns nullopt if that is
  // `arriving` itself, including its new request.
  std::optional<WaitingRequest> EvictFor(const std::string& arriving, double weight);

  // Removes and returns the requests for which `expired` returns true.
  std::vector<WaitingRequest> RemoveIf(const std::function<bool(const WaitingRequest&)>& expired);

  size_t size() const { return m_size; }
  bool empty() const { return m_size == 0; }

  // Erases idle flows whose past service no longer affects the order.
  void Compact();

 private:
  struct Flow {
    double weight = 1;
    double next_start_tag = 0;  // Virtual time at which the next request starts.
    size_t waiting = 0;
    std::array<std::deque<WaitingRequest>, kPriorityCount> requests;  // Indexed by priority.
  };

  // Returns the virtual start time of the flow's next request; lags m_virtual_time by at most the
  // credit.
  double StartTag(const Flow& flow) const;
  // Returns the credit of the flow in virtual time.
  double Credit(const Flow& flow) const { return m_credit / flow.weight; }
  // Returns the flow that Pop serves next; null if the queue is empty.
  const Flow* Next() const;
  void ChargeFlow(Flow* flow);
  WaitingRequest PopHighestPriority(Flow* flow);
  WaitingRequest EvictLowestPriority(Flow* flow);

  const double m_credit;
  std::map<std::string, Flow> m_flows;
  double m_virtual_time = 0;  // Largest start tag of a served request.
  size_t m_size = 0;          // Sum of Flow::waiting over all flows.
};

}  // namespace azuregw

#endif  // AZUREGW_ADMISSION_FAIR_QUEUE_H_
