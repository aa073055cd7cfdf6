// Encodes presets as JSON and decodes them.

#include "azuregw/preset/preset_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "preset/preset_reader.h"
#include "preset/preset_validator.h"

namespace azuregw {
namespace {

using nlohmann::json;

// Omits optional members that have their default value: the record of the largest expected fleet
// must fit in the limit of 1 MB per value of the key-value service.
template <class T>
void PutUnlessDefault(json* object, const char* key, const T& value, const T& default_value) {
  if (value != default_value) {
    (*object)[key] = value;
  }
}

json EngineToJson(const EngineSpec& engine) {
  const EngineSpec defaults;
  json object = {{"type", "engine"},
                 {"address", engine.address},
                 {"model", engine.model},
                 {"first_layer", engine.range.first},
                 {"last_layer", engine.range.last},
                 {"failure_domain", engine.failure_domain}};
  PutUnlessDefault(&object, "kind", engine.kind, defaults.kind);
  PutUnlessDefault(&object, "capacity", engine.capacity, defaults.capacity);
  PutUnlessDefault(&object, "step_ms", engine.step_ms, defaults.step_ms);
  PutUnlessDefault(&object, "checks_fencing", engine.checks_fencing, defaults.checks_fencing);
  PutUnlessDefault(&object, "version", engine.version, defaults.version);
  PutUnlessDefault(&object, "adapters", engine.adapters, defaults.adapters);
  PutUnlessDefault(&object, "role", engine.role, defaults.role);
  return object;
}

json UpstreamsToJson(const Preset& preset) {
  json upstreams = json::object();
  for (const auto& [name, engine] : preset.engines) {
    upstreams[name] = EngineToJson(engine);
  }
  for (const auto& [name, upstream] : preset.service_upstreams) {
    upstreams[name] = json{{"type", "service"},
                           {"service", upstream.service},
                           {"address", upstream.address},
                           {"failure_domain", upstream.failure_domain},
                           {"capacity", upstream.capacity}};
  }
  return upstreams;
}

json ModelsToJson(const Preset& preset) {
  json models = json::object();
  for (const auto& [name, model] : preset.models) {
    const bool is_inline = model.transfer == ActivationTransfer::kInline;
    models[name] = json{{"layers", model.layers},
                        {"max_tokens", model.max_tokens},
                        {"activation_transfer", is_inline ? "inline" : "handle"}};
  }
  return models;
}

json ServicesToJson(const Preset& preset) {
  json services = json::object();
  for (const auto& [name, service] : preset.services) {
    json operations = json::array();
    for (const OperationSpec& operation : service.operations) {
      operations.push_back(json{{"method", operation.method},
                                {"path", operation.path},
                                {"repeatable", operation.repeatable},
                                {"key_required", operation.key_required}});
    }
    services[name] = json{{"operations", std::move(operations)}};
  }
  return services;
}

json WorkspacesToJson(const Preset& preset) {
  json workspaces = json::object();
  for (const auto& [name, workspace] : preset.workspaces) {
    workspaces[name] = json{{"key_sha256", workspace.key_sha256},
                            {"weight", workspace.weight},
                            {"priority", workspace.priority},
                            {"max_inflight", workspace.max_inflight}};
  }
  return workspaces;
}

json LinksToJson(const Preset& preset) {
  json links = json::object();
  for (const auto& [from, row] : preset.links) {
    links[from] = row;
  }
  return links;
}

}  // namespace

PresetParseResult ParsePreset(const json& document) {
  PresetParseResult report;
  ReadPreset(document, &report.problems, &report.preset);
  ValidatePreset(report.preset, &report.problems);
  return report;
}

json PresetToJson(const Preset& preset) {
  return json{
      {"name", preset.name},
      {"models", ModelsToJson(preset)},
      {"upstreams", UpstreamsToJson(preset)},
      {"links", LinksToJson(preset)},
      {"services", ServicesToJson(preset)},
      {"workspaces", WorkspacesToJson(preset)},
      {"limits",
       {{"max_body_bytes", preset.limits.max_body_bytes},
        {"step_timeout_ms", preset.limits.step_timeout.count()},
        {"default_deadline_ms", preset.limits.default_deadline.count()},
        {"retry_budget_percent", preset.limits.retry_budget_percent}}},
      {"orders",
       {{"shards", preset.orders.shards}, {"retention_s", preset.orders.retention.count()}}},
      {"weight_store", {{"loads_per_minute", preset.weight_loads_per_minute}}}};
}

namespace {

Result<Preset> Decode(std::string_view text, bool ignore_unknown_members) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return NotRun(ResultCode::kPresetInvalid, "/: not valid JSON");
  }
  PresetParseResult report = ParsePreset(document);
  if (ignore_unknown_members) {
    auto& problems = report.problems;
    problems.erase(std::remove_if(problems.begin(), problems.end(),
                                  [](const PresetProblem& p) { return p.unknown_member; }),
                   problems.end());
  }
  if (report.problems.empty()) {
    return std::move(report.preset);
  }
  std::string message;
  for (const PresetProblem& problem : report.problems) {
    message += message.empty() ? "" : "\n";
    message += (problem.path.empty() ? "/" : problem.path) + ": " + problem.message;
  }
  return NotRun(ResultCode::kPresetInvalid, std::move(message));
}

}  // namespace

Result<Preset> DecodePreset(std::string_view text) { return Decode(text, false); }

Result<Preset> DecodeActivePreset(std::string_view text) { return Decode(text, true); }

std::string EncodePreset(const Preset& preset) { return PresetToJson(preset).dump(); }

}  // namespace azuregw
