// Gateway instance that forwards opaque requests between the callers and the upstreams of a
// platform. Runs on one event loop.

#ifndef AZUREGW_FORWARD_GATEWAY_H_
#define AZUREGW_FORWARD_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "azuregw/base/event_loop.h"
#include "azuregw/base/result.h"
#include "azuregw/forward/gateway_settings.h"
#include "azuregw/forward/wire_protocol.h"
#include "azuregw/kv/async_key_value_store.h"
#include "azuregw/logging/peer_fault_log.h"
#include "azuregw/net/http_client.h"
#include "azuregw/placement/engine_control.h"
#include "azuregw/sync/platform_codec.h"

namespace azuregw {

// Platform-specific components of an instance, created by the platform adapter.
struct GatewayPlatform {
  std::string readiness_target;  // Request target that the readiness probe of the platform uses.
  std::unique_ptr<PlatformCodec> codec;
  std::unique_ptr<WireProtocol> wire;
  std::unique_ptr<AsyncKeyValueStore> store;
  std::unique_ptr<EngineControl> engines;
  // Reloads the settings after a SIGHUP.
  std::function<Result<GatewaySettings>()> reload;
};

// Creates the platform components on the event loop and HTTP client of the instance. They report
// input that they reject.
using GatewayPlatformFactory =
    std::function<GatewayPlatform(EventLoop*, HttpClient*, PeerFaultLog*)>;

// Runs the instance and ends the process after a SIGTERM or SIGINT. Returns only if the instance
// cannot start; the result is the exit code of the process.
int RunGateway(const GatewaySettings& settings, const GatewayPlatformFactory& make_platform);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_GATEWAY_H_
