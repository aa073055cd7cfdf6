// Service calls with at-most-once execution.

#ifndef AZUREGW_ORDERS_ORDER_SERVICE_H_
#define AZUREGW_ORDERS_ORDER_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/clock.h"
#include "azuregw/base/random.h"
#include "azuregw/base/result.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/orders/claim_forwarder.h"
#include "azuregw/service/service_client.h"
#include "azuregw/timeline/event_recorder.h"

namespace azuregw {

// Call of a service by a caller.
struct ServiceCall {
  std::string workspace;
  std::string service;
  std::string method;
  std::string path;  // Rest of the path after "/v1/services/<service>", with the query.
  std::string content_type;
  std::string body;
  std::string idempotency_key;  // Empty if the caller sent none.
  std::string request_id;
  TimePoint deadline;
};

// Answer to a service call.
struct ServiceAnswer {
  ServiceReply reply;
  bool replayed = false;  // The answer was recorded by an earlier call with the same key.
};

// Runs service calls. A call that is not repeatable and has an idempotency key runs at most once,
// by means of a claim in the key-value store. Thread-safe; called by traffic threads.
class OrderService {
 public:
  virtual ~OrderService() = default;
  // Runs a call and calls `done` exactly once. The outcome in an error says whether the call ran
  // (see docs/design.md, section 5). Errors: 1006, 1007, 1008, 2001 to 2005, 3001 to 3004.
  virtual void Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
                   std::function<void(Result<ServiceAnswer>)> done) = 0;
  // Blocks until all recorded outcomes are written or `deadline` passes. Returns the number of
  // outcomes still unwritten.
  virtual int Flush(TimePoint deadline) = 0;
};

// Dependencies of an OrderService; all except `random` must outlive it.
struct OrderServiceDependencies {
  ServiceClient* client = nullptr;
  ClaimForwarder* forwarder = nullptr;
  const Clock* clock = nullptr;
  std::unique_ptr<Random> random;
  // Takes one retry from the retry budget of a target ("service/<name>"); returns false if the
  // budget is exhausted. If empty, retries are not limited.
  std::function<bool(const std::string& target)> take_retry;
  Metrics* metrics = nullptr;       // Optional.
  EventRecorder* events = nullptr;  // Optional.
};

// Creates an order service. After it is destroyed, callbacks of `client` and `forwarder` dispatch
// nothing and answer no caller; a claim granted then has no outcome, and its key becomes unknown.
std::unique_ptr<OrderService> MakeOrderService(OrderServiceDependencies parts);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_ORDER_SERVICE_H_
