// Preset: a complete configuration of models, upstreams, links, services, workspaces and limits.
// docs/assumptions.md describes the JSON form. A Preset is immutable once it is published.

#ifndef AZUREGW_PRESET_PRESET_H_
#define AZUREGW_PRESET_PRESET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "azuregw/base/clock.h"

namespace azuregw {

// Half-open range [first, last) of model layers.
struct LayerRange {
  int first = 0;
  int last = 0;
  friend bool operator==(const LayerRange& a, const LayerRange& b) {
    return a.first == b.first && a.last == b.last;
  }
  friend bool operator<(const LayerRange& a, const LayerRange& b) {
    return a.first != b.first ? a.first < b.first : a.last < b.last;
  }
};

// How the engines of a chain pass activations to the next one: as a handle or in the message.
enum class ActivationTransfer { kHandle, kInline };

struct ModelSpec {
  int layers = 0;
  int max_tokens = 256;  // Maximum number of generated tokens per answer.
  ActivationTransfer transfer = ActivationTransfer::kHandle;
};

struct EngineSpec {
  std::string name;
  std::string address;  // "IP:port"
  std::string model;
  LayerRange range;
  std::string kind;  // Kind of accelerator, such as "a100".
  std::string failure_domain;
  int capacity = 1;       // Maximum number of concurrent steps, each of another sequence.
  double step_ms = 10.0;  // Duration of one decode step without load.
  bool checks_fencing = false;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
};

struct ServiceUpstreamSpec {
  std::string name;
  std::string service;
  std::string address;  // "IP:port"
  std::string failure_domain;
  int capacity = 1;  // Maximum number of concurrent calls.
};

struct OperationSpec {
  std::string method;
  std::string path;         // Path prefix, matched by whole segments, such as "/deposits".
  bool repeatable = false;  // Whether the operation is idempotent.
  bool key_required = false;
};

struct ServiceSpec {
  std::vector<OperationSpec> operations;
};

struct WorkspaceSpec {
  std::string key_sha256;  // Lower-case hexadecimal SHA-256 of the bearer key.
  double weight = 1.0;     // Share of the capacity under overload, relative to other workspaces.
  int priority = 5;        // 0 (lowest) to 9 (highest).
  int max_inflight = 1000;
};

struct LimitSpec {
  int64_t max_body_bytes = 1 << 20;
  Milliseconds step_timeout{2000};
  Milliseconds default_deadline{30000};
  int retry_budget_percent = 10;  // Retries per 100 first attempts.
};

struct OrderSpec {
  int shards = 64;
  std::chrono::seconds retention{86400};
};

struct Preset {
  std::string name;
  std::map<std::string, ModelSpec> models;
  std::map<std::string, EngineSpec> engines;
  std::map<std::string, ServiceUpstreamSpec> service_upstreams;
  // One-way latency in ms by source and destination failure domain. An entry holds for both
  // directions.
  std::map<std::string, std::map<std::string, double>> links;
  std::map<std::string, ServiceSpec> services;
  std::map<std::string, WorkspaceSpec> workspaces;
  LimitSpec limits;
  OrderSpec orders;
  int weight_loads_per_minute = 6;
};

// Returns the one-way latency in ms between two failure domains: the value that `preset` lists for
// either direction, otherwise 0.1 within a domain and 1.0 between domains.
double LinkMs(const Preset& preset, const std::string& from_domain, const std::string& to_domain);

// Returns the operation with the longest path prefix that matches `method` and `path`. Without a
// match, returns the default: only GET and HEAD are repeatable (docs/assumptions.md).
OperationSpec FindOperation(const ServiceSpec& service, const std::string& method,
                            const std::string& path);

}  // namespace azuregw

#endif  // AZUREGW_PRESET_PRESET_H_
