// The order service: decides whether a call needs a claim, dispatches it and records its outcome.

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

// How often a call may be sent.
enum class CallMode {
  kRepeatable,  // Again after any failure.
  kSentOnce,    // Again only when nothing was sent.
  kClaimed,     // Again only when it is proved that nothing ran; under the same claim.
};

// One call from its arrival to its answer. Shared by the callbacks of its steps.
struct OrderFlight {
  std::shared_ptr<const Snapshot> snapshot;
  ServiceCall call;
  CallMode mode = CallMode::kRepeatable;
  Claim claim;  // Only for kClaimed.
  std::function<void(Result<ServiceAnswer>)> done;
  std::set<std::string> tried;
  // Set when the fate of the claim is decided in this process: dispatched or given up, never both.
  std::atomic<bool> decided{false};
};

// Shared by the service and its flights, which may end after it.
class OrderDispatcher : public std::enable_shared_from_this<OrderDispatcher> {
 public:
  explicit OrderDispatcher(OrderServiceDependencies parts);

  void Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
           std::function<void(Result<ServiceAnswer>)> done);
  int Flush(TimePoint deadline);
  // From now on nothing is dispatched and no caller is answered.
  void Stop() { m_stopped = true; }

 private:
  using Flight = std::shared_ptr<OrderFlight>;

  void StartClaim(const Flight& flight);
  void OnClaim(const Flight& flight, const ClaimReply& reply);
  void Dispatch(const Flight& flight, const Error& last_error);
  void OnReply(const Flight& flight, Result<ServiceReply> result);
  bool MayRetry(const OrderFlight& flight, const Error& error) const;
  void RecordOutcome(const Flight& flight, ClaimState state, const ServiceReply* reply);
  void Succeed(const Flight& flight, ServiceReply reply);
  void Fail(const Flight& flight, Error error);
  void Replay(const Flight& flight, const Claim& claim);
  void Count(const std::string& result);

  OrderServiceDependencies m_parts;
  UpstreamPicker m_picker;
  std::atomic<bool> m_stopped{false};
  std::atomic<int> m_unrecorded{0};
};

}  // namespace azuregw

#endif  // ORDERS_ORDER_SERVICE_IMPL_H_
