// Implementation of the order service.

#ifndef ORDERS_ORDER_SERVICE_IMPL_H_
#define ORDERS_ORDER_SERVICE_IMPL_H_

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "azuregw/orders/order_service.h"
#include "orders/upstream_picker.h"

namespace azuregw {

// Conditions under which a call may be sent again.
enum class CallMode {
  kRepeatable,  // Retried after any failure.
  kSentOnce,    // Retried only if nothing was sent.
  kClaimed,     // Retried under the same claim, only if it is proven that nothing ran.
};

// State of one call from its arrival to its answer; shared by the callbacks of its steps.
struct OrderContext {
  std::shared_ptr<const Snapshot> snapshot;
  ServiceCall call;
  CallMode mode = CallMode::kRepeatable;
  Claim claim;  // Set only for kClaimed.
  std::function<void(Result<ServiceAnswer>)> done;
  std::set<std::string> tried_upstreams;  // Names of the upstreams that the call was sent to.
  // Set when this process has either dispatched or abandoned the claim; it never does both.
  std::atomic<bool> claim_decided{false};
};

// Decides whether a call needs a claim, dispatches it and records its outcome. Thread-safe. Pending
// calls share ownership, because they may finish after the service is destroyed.
class OrderDispatcher : public std::enable_shared_from_this<OrderDispatcher> {
 public:
  explicit OrderDispatcher(OrderServiceDependencies dependencies);

  void Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
           std::function<void(Result<ServiceAnswer>)> done);
  int Flush(TimePoint deadline);
  // Prevents further dispatches and answers to callers.
  void Stop() { m_stopped = true; }

 private:
  using ContextPtr = std::shared_ptr<OrderContext>;

  void StartClaim(const ContextPtr& context);
  void OnClaim(const ContextPtr& context, const ClaimReply& reply);
  void Dispatch(const ContextPtr& context, const Error& last_error);
  void OnReply(const ContextPtr& context, Result<ServiceReply> result);
  bool MayRetry(const OrderContext& context, const Error& error) const;
  void RecordOutcome(const ContextPtr& context, ClaimState state, const ServiceReply* reply);
  void Succeed(const ContextPtr& context, ServiceReply reply);
  void Fail(const ContextPtr& context, Error error);
  void Replay(const ContextPtr& context, const Claim& claim);
  void CountResult(const std::string& result);

  OrderServiceDependencies m_dependencies;
  UpstreamPicker m_picker;
  std::atomic<bool> m_stopped{false};
  std::atomic<int> m_unrecorded_outcomes{0};  // Outcomes not confirmed by the forwarder yet.
};

}  // namespace azuregw

#endif  // ORDERS_ORDER_SERVICE_IMPL_H_
