// Reads the members of a preset document and checks their types and ranges.

#include "preset/preset_reader.h"

#include <algorithm>
#include <string>

#include "preset/json_reader.h"

namespace azuregw {
namespace {

using nlohmann::json;
using Need = JsonReader::Need;
using Problems = std::vector<PresetProblem>;

constexpr int kMaxLayers = 1024;
constexpr int kMaxCapacity = 1000000;
constexpr double kMaxDurationMs = 60000.0;
constexpr int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

void ReadModel(const json& value, const std::string& path, Problems* problems, ModelSpec* out) {
  JsonReader reader(value, path, problems);
  reader.Int("layers", Need::kRequired, 1, kMaxLayers, &out->layers);
  reader.Int("max_tokens", Need::kOptional, 1, 1 << 20, &out->max_tokens);
  std::string transfer = "handle";
  reader.String("activation_transfer", Need::kOptional, &transfer);
  if (transfer != "handle" && transfer != "inline") {
    reader.Report("activation_transfer", "expected \"handle\" or \"inline\"");
  }
  out->transfer = transfer == "inline" ? ActivationTransfer::kInline : ActivationTransfer::kHandle;
  reader.ReportUnknown();
}

void ReadEngine(JsonReader* reader, EngineSpec* out) {
  reader->Address("address", &out->address);
  reader->String("model", Need::kRequired, &out->model);
  reader->Int("first_layer", Need::kRequired, 0, kMaxLayers, &out->range.first);
  reader->Int("last_layer", Need::kRequired, 1, kMaxLayers, &out->range.last);
  reader->String("kind", Need::kOptional, &out->kind);
  reader->String("failure_domain", Need::kRequired, &out->failure_domain);
  reader->Int("capacity", Need::kOptional, 1, kMaxCapacity, &out->capacity);
  reader->Number("step_ms", Need::kOptional, 0.001, kMaxDurationMs, &out->step_ms);
  reader->Bool("checks_fencing", &out->checks_fencing);
  reader->String("version", Need::kOptional, &out->version);
  reader->Strings("adapters", &out->adapters);
  reader->String("role", Need::kOptional, &out->role);
}

void ReadServiceUpstream(JsonReader* reader, ServiceUpstreamSpec* out) {
  reader->String("service", Need::kRequired, &out->service);
  reader->Address("address", &out->address);
  reader->String("failure_domain", Need::kRequired, &out->failure_domain);
  reader->Int("capacity", Need::kOptional, 1, kMaxCapacity, &out->capacity);
}

void ReadUpstream(const std::string& name, const json& value, const std::string& path,
                  Problems* problems, Preset* preset) {
  JsonReader reader(value, path, problems);
  std::string type;
  reader.String("type", Need::kRequired, &type);
  if (type == "engine") {
    EngineSpec& engine = preset->engines[name];
    engine.name = name;
    ReadEngine(&reader, &engine);
    reader.ReportUnknown();
  } else if (type == "service") {
    ServiceUpstreamSpec& upstream = preset->service_upstreams[name];
    upstream.name = name;
    ReadServiceUpstream(&reader, &upstream);
    reader.ReportUnknown();
  } else if (!type.empty()) {
    reader.Report("type", "expected \"engine\" or \"service\"");
  }
}

void ReadLinks(const json& links, const std::string& path, Problems* problems, Preset* preset) {
  for (const auto& [from, row] : links.items()) {
    JsonReader reader(row, JoinPointer(path, from), problems);
    for (const auto& [to, value] : row.items()) {
      if (reader.IsObject()) {
        reader.Number(to.c_str(), Need::kRequired, 0.0, kMaxDurationMs, &preset->links[from][to]);
      }
    }
  }
}

void ReadService(const json& value, const std::string& path, Problems* problems, ServiceSpec* out) {
  JsonReader reader(value, path, problems);
  int index = 0;
  for (const json& item : reader.Array("operations")) {
    JsonReader entry(item, JoinPointer(reader.PathOf("operations"), std::to_string(index++)),
                     problems);
    OperationSpec operation;
    entry.String("method", Need::kRequired, &operation.method);
    entry.String("path", Need::kRequired, &operation.path);
    entry.Bool("repeatable", &operation.repeatable);
    entry.Bool("key_required", &operation.key_required);
    if (!operation.path.empty() && operation.path[0] != '/') {
      entry.Report("path", "expected a path that starts with \"/\"");
    }
    entry.ReportUnknown();
    out->operations.push_back(operation);
  }
  reader.ReportUnknown();
}

bool IsSha256(const std::string& text) {
  return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void ReadWorkspace(const json& value, const std::string& path, Problems* problems,
                   WorkspaceSpec* out) {
  JsonReader reader(value, path, problems);
  reader.String("key_sha256", Need::kRequired, &out->key_sha256);
  if (!out->key_sha256.empty() && !IsSha256(out->key_sha256)) {
    reader.Report("key_sha256", "expected 64 lower-case hexadecimal digits");
  }
  reader.Number("weight", Need::kOptional, 0.001, 1e6, &out->weight);
  reader.Int("priority", Need::kOptional, 0, 9, &out->priority);
  reader.Int("max_inflight", Need::kOptional, 1, kMaxCapacity, &out->max_inflight);
  reader.ReportUnknown();
}

void ReadLimits(const json& value, const std::string& path, Problems* problems, LimitSpec* out) {
  JsonReader reader(value, path, problems);
  reader.Int64("max_body_bytes", Need::kOptional, 1024, 1 << 28, &out->max_body_bytes);
  int64_t step_timeout = out->step_timeout.count();
  reader.Int64("step_timeout_ms", Need::kOptional, 1, kMaxTimeoutMs, &step_timeout);
  out->step_timeout = Milliseconds(step_timeout);
  int64_t deadline = out->default_deadline.count();
  reader.Int64("default_deadline_ms", Need::kOptional, 1, kMaxTimeoutMs, &deadline);
  out->default_deadline = Milliseconds(deadline);
  reader.Int("retry_budget_percent", Need::kOptional, 0, 100, &out->retry_budget_percent);
  reader.ReportUnknown();
}

void ReadOrders(const json& value, const std::string& path, Problems* problems, OrderSpec* out) {
  JsonReader reader(value, path, problems);
  reader.Int("shards", Need::kOptional, 1, 65536, &out->shards);
  int64_t retention = out->retention.count();
  reader.Int64("retention_s", Need::kOptional, 60, 366LL * 86400, &retention);
  out->retention = std::chrono::seconds(retention);
  reader.ReportUnknown();
}

void ReadWeightStore(const json& value, const std::string& path, Problems* problems, int* out) {
  JsonReader reader(value, path, problems);
  reader.Int("loads_per_minute", Need::kOptional, 1, 100000, out);
  reader.ReportUnknown();
}

}  // namespace

void ReadPreset(const json& document, Problems* problems, Preset* out) {
  JsonReader reader(document, "", problems);
  reader.String("name", Need::kRequired, &out->name);
  for (const auto& [name, value] : reader.Object("models", Need::kOptional).items()) {
    ReadModel(value, JoinPointer("/models", name), problems, &out->models[name]);
  }
  for (const auto& [name, value] : reader.Object("upstreams", Need::kRequired).items()) {
    ReadUpstream(name, value, JoinPointer("/upstreams", name), problems, out);
  }
  ReadLinks(reader.Object("links", Need::kOptional), "/links", problems, out);
  for (const auto& [name, value] : reader.Object("services", Need::kOptional).items()) {
    ReadService(value, JoinPointer("/services", name), problems, &out->services[name]);
  }
  for (const auto& [name, value] : reader.Object("workspaces", Need::kRequired).items()) {
    ReadWorkspace(value, JoinPointer("/workspaces", name), problems, &out->workspaces[name]);
  }
  ReadLimits(reader.Object("limits", Need::kOptional), "/limits", problems, &out->limits);
  ReadOrders(reader.Object("orders", Need::kOptional), "/orders", problems, &out->orders);
  ReadWeightStore(reader.Object("weight_store", Need::kOptional), "/weight_store", problems,
                  &out->weight_loads_per_minute);
  reader.ReportUnknown();
}

}  // namespace azuregw
