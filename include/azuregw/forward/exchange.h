// The way of one request from its arrival to its answer.

#ifndef AZUREGW_FORWARD_EXCHANGE_H_
#define AZUREGW_FORWARD_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "azuregw/admission/shared_retry_budget.h"
#include "azuregw/admission/stream_queue.h"
#include "azuregw/base/event_loop.h"
#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/path_selector.h"
#include "azuregw/fleet/stream_monitor.h"
#include "azuregw/forward/gateway_settings.h"
#include "azuregw/forward/wire_protocol.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/net/http_client.h"
#include "azuregw/placement/engine_control.h"
#include "azuregw/routes/route_table.h"

namespace azuregw {

// What the exchanges of an instance share. All members outlive the exchanges.
struct ForwardContext {
  EventLoop* loop = nullptr;
  HttpClient* client = nullptr;
  RouteTable* routes = nullptr;
  Fleet* fleet = nullptr;
  PathSelector* paths = nullptr;
  StreamQueue* queue = nullptr;
  StreamMonitor* monitor = nullptr;
  SharedRetryBudget* budget = nullptr;
  const WireProtocol* wire = nullptr;
  EngineControl* engines = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  Random* random = nullptr;
  GatewaySettings settings;
  // As in PathQuery.
  int assumed_instances = 1;
  // Instances that serve callers, as last known.
  int instances = 1;
  std::optional<TimePoint> stopping_since;
};

struct IncomingRequest {
  HttpRequest message;
  TimePoint arrived;
};

struct BufferedResponse {
  int status = 0;
  HttpFields fields;  // Without those of one connection.
  std::string body;
};

// The caller's side of an exchange. Exactly one of SendResponse(), EndStream() and Break() is the
// last call; the responder may destroy the exchange after it, but not before it returns to the
// loop.
class CallerResponder {
 public:
  virtual ~CallerResponder() = default;
  virtual void SendResponse(BufferedResponse reply) = 0;
  virtual void BeginStream(const BufferedResponse& head) = 0;
  virtual void SendChunk(std::string_view bytes) = 0;
  virtual void EndStream() = 0;
  // Closes the connection so that the answer cannot look complete.
  virtual void AbortStream() = 0;
};

class ForwardExchange {
 public:
  virtual ~ForwardExchange() = default;
  virtual void Start() = 0;
};

// Looks the route up and makes the exchange for it; requests that are refused at once get one too.
// Destroying an exchange stops its work at the upstreams.
std::unique_ptr<ForwardExchange> MakeExchange(ForwardContext* context, IncomingRequest request,
                                              CallerResponder* responder);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_EXCHANGE_H_
