// The HTTP interface for callers: completions, models, plain services, health.

#ifndef AZUREGW_GATEWAY_CALLER_SERVER_H_
#define AZUREGW_GATEWAY_CALLER_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "azuregw/admission/admission_controller.h"
#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/orders/order_service.h"
#include "azuregw/pipeline/pipeline_runner.h"
#include "azuregw/refusals/refusal_recorder.h"
#include "azuregw/timeline/event_recorder.h"

namespace azuregw {

// The pointers outlive the server.
struct GatewayDependencies {
  const SnapshotSource* snapshots = nullptr;
  AdmissionController* admission = nullptr;
  PipelineRunner* runner = nullptr;
  OrderService* orders = nullptr;
  RefusalRecorder* refusals = nullptr;
  EventRecorder* events = nullptr;
  Metrics* metrics = nullptr;
  const Clock* clock = nullptr;
  // Why the instance is not ready; nullopt when it is ready. Thread-safe.
  std::function<std::optional<std::string>()> not_ready_reason;
};

struct CallerServerOptions {
  std::string address;  // "IP:port"; port 0 lets the kernel choose.
  size_t max_header_bytes = 16384;
  size_t max_header_count = 100;
  size_t max_stream_buffer_bytes = 262144;  // Unsent bytes of one stream.
};

class CallerServer {
 public:
  virtual ~CallerServer() = default;  // Stops.

  // "IP:port" with the port in use.
  virtual std::string Address() const = 0;

  // New requests are refused with kDraining from now on; those in progress continue.
  virtual void BeginDrain() = 0;

  // Requests whose answer has not been sent completely.
  virtual int InProgress() const = 0;

  // Waits until no request is in progress, at most until `deadline`. Returns whether none is.
  virtual bool WaitIdle(TimePoint deadline) = 0;

  // Closes the listener and the connections. Not called from a library thread.
  virtual void Stop() = 0;
};

// Listens at once. Errors: kPortInUse.
Result<std::unique_ptr<CallerServer>> MakeCallerServer(const CallerServerOptions& options,
                                                       const GatewayDependencies& dependencies);

}  // namespace azuregw

#endif  // AZUREGW_GATEWAY_CALLER_SERVER_H_
