// Handles one request from its arrival to the end of its response.

#ifndef AZUREGW_FORWARD_EXCHANGE_H_
#define AZUREGW_FORWARD_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "azuregw/admission/prompt_quarantine.h"
#include "azuregw/admission/shared_retry_budget.h"
#include "azuregw/admission/stop_policy.h"
#include "azuregw/admission/stream_queue.h"
#include "azuregw/base/event_loop.h"
#include "azuregw/base/random.h"
#include "azuregw/fleet/fleet.h"
#include "azuregw/fleet/path_selector.h"
#include "azuregw/fleet/stream_monitor.h"
#include "azuregw/forward/engine_exit_checker.h"
#include "azuregw/forward/gateway_settings.h"
#include "azuregw/forward/wire_protocol.h"
#include "azuregw/logging/event_log.h"
#include "azuregw/logging/peer_fault_log.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/net/http_client.h"
#include "azuregw/placement/engine_control.h"
#include "azuregw/routes/route_table.h"

namespace azuregw {

// Dependencies and state that all exchanges of an instance share. The referenced objects must
// outlive the exchanges.
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
  EngineExitChecker* exits = nullptr;
  PromptQuarantine* quarantine = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
  PeerFaultLog* peer_faults = nullptr;
  Random* random = nullptr;
  GatewaySettings settings;
  // Factor on this instance's own load while the load of the other instances is unknown; 0 when it
  // is known. Copied to PathQuery.
  int assumed_instances = 1;
  // Age of the known load of the other instances.
  Milliseconds load_age{0};
  // Last known number of instances that serve callers.
  int instances = 1;
  // Set once the instance has received a stop signal.
  std::optional<StopWindow> stop;
};

// Request as received from a caller, with its body.
struct IncomingRequest {
  HttpRequest message;  // The exchange moves the body out of it.
  TimePoint arrived;
};

// Response with its complete body.
struct BufferedResponse {
  int status = 0;
  HttpFields fields;  // End-to-end header fields only.
  std::string body;
};

// Caller's side of an exchange. The last call is exactly one of SendResponse(), EndStream() and
// AbortStream(). After it, the responder may destroy the exchange, but only from a later turn of
// the event loop.
class CallerResponder {
 public:
  virtual ~CallerResponder() = default;
  // Sends the complete response.
  virtual void SendResponse(BufferedResponse reply) = 0;
  // Sends the status and header fields of a response that is sent in parts; `head.body` is ignored.
  // The response is chunked unless its `length` is known.
  virtual void BeginStream(const BufferedResponse& head, std::optional<uint64_t> length) = 0;
  // Sends part of the body after BeginStream().
  virtual void SendChunk(std::string_view bytes) = 0;
  // Ends the response as complete. All of its `length` must have been sent.
  virtual void EndStream() = 0;
  // Closes the connection so that the caller cannot take the response for complete.
  virtual void AbortStream() = 0;
  // Returns whether the caller has not read kUnsentWindowBytes of the response yet. The exchange
  // then sends no more until OnCallerReads().
  virtual bool Backlogged() const = 0;
};

// Forwarding of one request. Destroying an exchange cancels its requests to upstreams.
class ForwardExchange {
 public:
  virtual ~ForwardExchange() = default;
  // Starts forwarding; may call the responder before it returns.
  virtual void Start() = 0;
  // The caller has read enough of a response that was backlogged.
  virtual void OnCallerReads() {}
  // The process exits shortly. Ends the response, and says truly whether the request may have run.
  virtual void OnStopDeadline() {}
};

// Matches the route and creates the exchange for it. A request that is rejected without an upstream
// also gets an exchange. `context` and `responder` must outlive the exchange.
std::unique_ptr<ForwardExchange> MakeExchange(ForwardContext* context, IncomingRequest request,
                                              CallerResponder* responder);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_EXCHANGE_H_
