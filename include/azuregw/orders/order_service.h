// Runs calls on plain services: at most once where they may not be repeated, with claims in the
// key-value service. Thread-safe; called by traffic threads.

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

struct ServiceCall {
  std::string workspace;
  std::string service;
  std::string method;
  std::string path;  // After "/v1/services/<service>", with query.
  std::string content_type;
  std::string body;
  std::string idempotency_key;  // Empty: none.
  std::string request_id;
  TimePoint deadline;
};

struct ServiceAnswer {
  ServiceReply reply;
  bool replayed = false;  // The recorded answer of an earlier run of the same key.
};

class OrderService {
 public:
  virtual ~OrderService() = default;
  // Calls `done` exactly once. The error's outcome says whether the call ran (see docs/design.md,
  // section 5). Errors: 1006, 1007, 1008, 2001 to 2005, 3001 to 3004.
  virtual void Run(std::shared_ptr<const Snapshot> snapshot, ServiceCall call,
                   std::function<void(Result<ServiceAnswer>)> done) = 0;
  // Waits until recorded outcomes have been written, at most until `deadline`. Returns the number
  // still unwritten.
  virtual int Flush(TimePoint deadline) = 0;
};

// What an order service works with; all but `random` must live until it is destroyed.
struct OrderServiceDependencies {
  ServiceClient* client = nullptr;
  ClaimForwarder* forwarder = nullptr;
  const Clock* clock = nullptr;
  std::unique_ptr<Random> random;
  // Whether the retry budget of a target ("service/<name>") allows one more retry. Empty: always.
  std::function<bool(const std::string& target)> take_retry;
  Metrics* metrics = nullptr;       // Optional.
  EventRecorder* events = nullptr;  // Optional.
};

// Callbacks of `client` and `forwarder` that arrive after the service was destroyed have no effect:
// outcomes that come then are not recorded, and their keys become unknown.
std::unique_ptr<OrderService> MakeOrderService(OrderServiceDependencies parts);

}  // namespace azuregw

#endif  // AZUREGW_ORDERS_ORDER_SERVICE_H_
