// EngineClient over HTTP and JSON.

#ifndef AZUREGW_ENGINE_HTTP_ENGINE_CLIENT_H_
#define AZUREGW_ENGINE_HTTP_ENGINE_CLIENT_H_

#include <memory>

#include "azuregw/base/clock.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/engine/step_batcher.h"

namespace azuregw {

struct HttpEngineClientOptions {
  StepBatcherOptions batching;
  // For calls other than steps, which carry their own timeout.
  Milliseconds call_timeout{2000};
  // An engine that was not called for this long gives up its connections and its state here.
  Milliseconds idle_retention{60000};
};

// Steps that still wait when the client is destroyed fail with kUpstreamTimeout.
std::unique_ptr<EngineClient> MakeHttpEngineClient(
    const HttpEngineClientOptions& options = HttpEngineClientOptions());

}  // namespace azuregw

#endif  // AZUREGW_ENGINE_HTTP_ENGINE_CLIENT_H_
