// The operator's configuration of routes, services, workspaces and caller limits, as the product
// holds it.

#ifndef AZUREGW_ROUTES_ROUTING_CONFIG_H_
#define AZUREGW_ROUTES_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Whether a request may run more than once.
enum class RetryPolicy {
  kIdempotent,  // Idempotent.
  kAtMostOnce,  // At most one run.
  kStream,      // Events with increasing ids; repeatable only where the route allows resuming.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct RouteSpec {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RetryPolicy retry_policy = RetryPolicy::kAtMostOnce;
  Milliseconds timeout{0};                // 0: none.
  Milliseconds target_latency{0};         // 0: none.
  int priority = 0;                       // 0 is the most important.
  std::vector<WeightedService> services;  // At least one, weights above 0.
  int max_attempts = 1;                   // Engines that one request may be sent to.
  bool is_public = false;                 // Needs no key.
  bool resumable = false;                 // A stream may continue at another engine.
  Milliseconds gap_target{0};             // Longest pause between events of an answer in time.

  bool MayRetry() const {
    return retry_policy == RetryPolicy::kIdempotent ||
           (retry_policy == RetryPolicy::kStream && resumable);
  }
};

// A kind of accelerator that an engine may run on.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0;
  double step_factor = 1;     // Multiplies the time of token steps and of context.
  double prefill_factor = 1;  // Multiplies the time of reading prompts.
};

// How the engines of a service compute; figures of the whole model at factor 1.
struct EngineProfile {
  std::string model;
  int layers = 0;
  double layer_mb = 0;
  double kv_bytes_per_token = 0;  // Over all layers.
  double activation_bytes_per_token = 0;
  double step_ms = 0;
  double step_ms_per_sequence = 0;
  double step_ms_per_context_k = 0;  // Per 1,000 tokens of context of the running requests.
  double prefill_tokens_per_s = 0;
  double prefill_ms_per_m_pairs = 0;
  int prefill_chunk_tokens = 512;
  double weight_load_s = 0;  // All layers, nothing else loading.
  double zone_delay_ms = 0;  // Largest one-way delay between failure domains.
  double pipe_mbps = 0;
  int slots = 0;
  double usual_prompt_tokens = 0;
  double usual_answer_tokens = 0;
  std::map<std::string, AcceleratorKind> kinds;
};

struct RoutedService {
  std::string name;
  int max_connections = 0;              // Per upstream, from all callers.
  std::optional<EngineProfile> engine;  // Set for model engines that hold layers.
};

struct RoutedWorkspace {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  // Goes before the route's priority.
};

struct CallerLimits {
  uint32_t max_header_bytes = 16 * 1024;
  uint64_t max_body_bytes = uint64_t{4} << 20;
  Milliseconds header_timeout{10000};
  Milliseconds idle_timeout{60000};
};

struct RoutingConfig {
  uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<std::string, RoutedService> services;
  std::vector<RoutedWorkspace> workspaces;
  CallerLimits limits;
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTES_ROUTING_CONFIG_H_
