// JSON of the engines' protocol.

#include "engine/engine_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace azuregw {
namespace {

using nlohmann::json;

struct EngineErrorCode {
  std::string_view name;
  ResultCode code;
};

constexpr EngineErrorCode kEngineErrors[] = {
    {"stale_attempt", ResultCode::kStaleAttempt},
    {"unknown_sequence", ResultCode::kUnknownSequence},
    {"leaving", ResultCode::kUpstreamLeaving},
    {"overloaded", ResultCode::kOverloaded},
    {"fetch_failed", ResultCode::kFetchFailed},
};

ResultCode CodeOfEngineError(const std::string& name) {
  for (const EngineErrorCode& entry : kEngineErrors) {
    if (entry.name == name) {
      return entry.code;
    }
  }
  return ResultCode::kUpstreamRefused;
}

// Runs `read` on the parsed body; what it throws becomes kUpstreamProtocol.
template <class T, class Read>
Result<T> Decode(std::string_view body, Read read) {
  try {
    return read(json::parse(body));
  } catch (const std::exception& exception) {
    return Unknown(ResultCode::kUpstreamProtocol, exception.what());
  }
}

struct InputEncoder {
  json operator()(const PromptText& input) const { return {{"text", input.text}}; }
  json operator()(const TokenIds& input) const { return {{"tokens", input.ids}}; }
  json operator()(const InlineActivations& input) const { return {{"activations", input.values}}; }
  json operator()(const FetchActivations& input) const {
    return {{"fetch",
             {{"address", input.address},
              {"sequence", input.sequence},
              {"layer", input.layer},
              {"first_token", input.first_token},
              {"token_count", input.token_count}}}};
  }
};

json EncodeStep(const StepRequest& step) {
  return {{"sequence", step.sequence},
          {"attempt", step.attempt},
          {"model", step.model},
          {"first_layer", step.range.first},
          {"last_layer", step.range.last},
          {"first_token", step.first_token},
          {"token_count", step.token_count},
          {"priority", step.priority},
          {"output", step.output == ActivationTransfer::kInline ? "inline" : "handle"},
          {"input", std::visit(InputEncoder{}, step.input)}};
}

EngineLoad ReadLoad(const json& load) {
  EngineLoad result;
  result.running = load.value("running", 0);
  result.waiting = load.value("waiting", 0);
  result.capacity = load.value("capacity", 1);
  result.kv_used = load.value("kv_used", int64_t{0});
  result.kv_capacity = load.value("kv_capacity", int64_t{0});
  result.leaving = load.value("leaving", false);
  result.age = Milliseconds(load.value("age_ms", int64_t{0}));
  return result;
}

Result<StepResult> ReadStepResult(const json& item, const EngineLoad& load) {
  if (item.at("status") != "ok") {
    const std::string name = item.value("error", "unknown");
    const bool executed = item.value("executed", true);
    return Error{CodeOfEngineError(name), "engine: " + name,
                 executed ? RunOutcome::kUnknown : RunOutcome::kNotRun, std::nullopt};
  }
  StepResult result;
  result.sequence = item.at("sequence").get<std::string>();
  result.attempt = item.at("attempt").get<uint32_t>();
  result.first_token = item.at("first_token").get<int>();
  result.token_count = item.at("token_count").get<int>();
  result.load = load;
  if (item.contains("activations")) {
    result.activations = item.at("activations").get<std::vector<std::string>>();
  }
  if (item.contains("token")) {
    result.has_token = true;
    result.token = item.at("token").get<uint32_t>();
    result.text = item.value("text", "");
    result.end = item.value("end", false);
  }
  return result;
}

Result<StepResult> ReadStepResultSafely(const json& item, const EngineLoad& load) {
  try {
    return ReadStepResult(item, load);
  } catch (const std::exception& exception) {
    return Unknown(ResultCode::kUpstreamProtocol, exception.what());
  }
}

uint64_t ParseHex(const std::string& text) { return std::stoull(text, nullptr, 16); }

std::string_view OrderName(EngineOrderKind kind) {
  switch (kind) {
    case EngineOrderKind::kLoadModel:
      return "load_model";
    case EngineOrderKind::kLoadAdapter:
      return "load_adapter";
    case EngineOrderKind::kLoadVersion:
      return "load_version";
    case EngineOrderKind::kSetRole:
      return "set_role";
  }
  return "";
}

// Callers' text may hold bytes that are not UTF-8; they are replaced instead of throwing.
std::string Dump(const json& document) {
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string EncodeSteps(gsl::span<const StepRequest> steps) {
  json items = json::array();
  for (const StepRequest& step : steps) {
    items.push_back(EncodeStep(step));
  }
  return Dump({{"steps", std::move(items)}});
}

Result<std::vector<Result<StepResult>>> DecodeStepResults(std::string_view body, size_t count) {
  using Results = std::vector<Result<StepResult>>;
  return Decode<Results>(body, [count](const json& document) -> Result<Results> {
    const json& items = document.at("results");
    if (items.size() != count) {
      return Unknown(ResultCode::kUpstreamProtocol, "the number of results differs from the steps");
    }
    const EngineLoad load = document.contains("load") ? ReadLoad(document["load"]) : EngineLoad();
    Results results;
    for (const json& item : items) {
      results.push_back(ReadStepResultSafely(item, load));
    }
    return results;
  });
}

std::string EncodeSequence(const std::string& sequence, uint32_t attempt) {
  return Dump({{"sequence", sequence}, {"attempt", attempt}});
}

std::string EncodeImport(const std::string& sequence, uint32_t attempt, const std::string& source) {
  return Dump({{"sequence", sequence}, {"attempt", attempt}, {"from", source}});
}

std::string EncodeOrder(const EngineOrder& order) {
  return Dump({{"order", OrderName(order.kind)},
               {"argument", order.argument},
               {"order_id", order.order_id},
               {"fencing", order.fencing}});
}

Result<AttemptReply> DecodeAttempt(std::string_view body) {
  return Decode<AttemptReply>(body, [](const json& document) -> Result<AttemptReply> {
    AttemptReply reply;
    reply.tokens = document.at("tokens").get<int>();
    for (const json& output : document.value("outputs", json::array())) {
      reply.outputs.push_back({output.at("token").get<uint32_t>(), output.value("text", ""),
                               output.value("end", false)});
    }
    return reply;
  });
}

Result<int> DecodeTokens(std::string_view body) {
  return Decode<int>(
      body, [](const json& document) -> Result<int> { return document.at("tokens").get<int>(); });
}

Result<EngineLoad> DecodeLoad(std::string_view body) {
  return Decode<EngineLoad>(
      body, [](const json& document) -> Result<EngineLoad> { return ReadLoad(document); });
}

Result<CacheEvents> DecodeCacheEvents(std::string_view body) {
  return Decode<CacheEvents>(body, [](const json& document) -> Result<CacheEvents> {
    CacheEvents result;
    for (const json& event : document.at("events")) {
      result.events.push_back({event.at("id").get<uint64_t>(), event.at("op") == "store",
                               ParseHex(event.at("prefix").get<std::string>())});
    }
    result.next = document.at("next").get<uint64_t>();
    return result;
  });
}

Result<EngineState> DecodeState(std::string_view body) {
  return Decode<EngineState>(body, [](const json& document) -> Result<EngineState> {
    EngineState state;
    state.model = document.value("model", "");
    state.version = document.value("version", "");
    state.adapters = document.value("adapters", std::vector<std::string>());
    state.role = document.value("role", "");
    state.last_order_id = document.value("last_order_id", "");
    state.fencing = document.value("fencing", uint64_t{0});
    return state;
  });
}

}  // namespace azuregw
