// An instance that forwards opaque requests: assembles its parts and runs them on one event loop.

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
#include "azuregw/net/http_client.h"
#include "azuregw/placement/engine_control.h"
#include "azuregw/sync/platform_codec.h"

namespace azuregw {

// What the platform's adapter provides to an instance.
struct GatewayPlatform {
  std::string readiness_target;
  std::unique_ptr<PlatformCodec> codec;
  std::unique_ptr<WireProtocol> wire;
  std::unique_ptr<AsyncKeyValueStore> store;
  std::unique_ptr<EngineControl> engines;
  // Reads the settings again after they changed.
  std::function<Result<GatewaySettings>()> reload;
};

// Makes the adapter's parts on the loop and the client of the instance.
using GatewayPlatformFactory = std::function<GatewayPlatform(EventLoop*, HttpClient*)>;

// Runs until a stop signal was carried out; returns the process's exit code.
int RunGateway(const GatewaySettings& settings, const GatewayPlatformFactory& make_platform);

}  // namespace azuregw

#endif  // AZUREGW_FORWARD_GATEWAY_H_
