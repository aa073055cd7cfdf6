// Operator configuration of routes, services, workspaces and caller limits, in decoded form.

#ifndef AZUREGW_ROUTES_ROUTING_CONFIG_H_
#define AZUREGW_ROUTES_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Whether a request may be executed more than once.
enum class RetryPolicy {
  kIdempotent,  // Any number of executions has the same effect.
  kAtMostOnce,  // At most one execution.
  kStream,      // Event stream with increasing event IDs; retried only if the route is resumable.
};

// Service of a route and its share of the requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

// Rule for requests with a given host and path prefix.
struct RouteSpec {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  Milliseconds timeout{0};                // Request timeout; 0 if none.
  Milliseconds target_latency{0};         // Latency target; 0 if none.
  int priority = 0;                       // Priority; 0 is the highest.
  std::vector<WeightedService> services;  // At least one service; weights are above 0.
  int max_attempts = 1;                   // Maximum number of times that a request is sent.
  bool is_public = false;                 // Requests need no key.
  bool resumable = false;                 // A stream may continue at another engine.
  Milliseconds gap_target{0};  // Maximum interval between response events that is on time.

  // Returns whether a request may be sent again after it may have been executed.
  bool MayRetry() const {
    return retry_policy == RetryPolicy::kIdempotent ||
           (retry_policy == RetryPolicy::kStream && resumable);
  }
};

// Accelerator kind that an engine can run on.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;     // Multiplier on decode step and context time.
  double prefill_factor = 1;  // Multiplier on prefill time.
};

// Performance profile of a service's engines, for the whole model at factor 1.
struct EngineProfile {
  std::string model;
  int layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  // KV bytes per token over all layers.
  double activation_bytes_per_token = 0;
  double step_ms = 0;
  double step_ms_per_sequence = 0;
  // Step time per 1,000 tokens of context of the running requests.
  double step_ms_per_context_k = 0;
  double prefill_tokens_per_s = 0;
  double prefill_ms_per_m_pairs = 0;
  int prefill_chunk_tokens = 512;
  double weight_load_s = 0;  // Time to load all layers without concurrent loads.
  double zone_delay_ms = 0;  // Largest one-way delay between failure domains.
  double pipe_mbps = 0;
  int slots = 0;
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  std::map<std::string, AcceleratorKind> kinds;
};

// Service that requests are routed to.
struct RoutedService {
  std::string name;
  int max_connections = 0;              // Maximum connections per upstream, over all callers.
  std::optional<EngineProfile> engine;  // Set for services whose engines hold model layers.
};

// Workspace with its API keys.
struct RoutedWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // Overrides the route's priority.
};

// Limits on caller connections and requests.
struct CallerLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = uint64_t{4} << 20;
  Milliseconds header_timeout{10000};
  Milliseconds idle_timeout{60000};
};

// Complete configuration of one version.
struct RoutingConfig {
  uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<std::string, RoutedService> services;
  std::vector<RoutedWorkspace> workspaces;
  CallerLimits limits;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTES_ROUTING_CONFIG_H_
