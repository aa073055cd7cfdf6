// Fake engine: KV cache, steps, attempts, export and import of sequences.

#include <algorithm>
#include <utility>

#include "tests/fakes/fake_engine.h"

namespace azuregw::fakes {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr size_t kCacheEventsKept = 4096;
// One cache event in this many is lost.
constexpr uint64_t kLostEventInterval = 7;

json StepError(const std::string& error, int expected_token) {
  return {{"status", "error"},
          {"error", error},
          {"executed", false},
          {"expected_token", expected_token}};
}

}  // namespace

json FakeEngine::Execute(const Step& step) {
  Sequence* sequence = nullptr;
  json problem = CheckStep(step, &sequence);
  if (!problem.is_null()) {
    return problem;
  }
  const int first = step.request.value("first_token", 0);
  const int count = static_cast<int>(step.inputs.size());
  if (first + count <= sequence->tokens) {
    return ResultOf(step, *sequence, first, count);  // Already run; the stored result is returned.
  }
  return Run(step, sequence);
}

json FakeEngine::CheckStep(const Step& step, Sequence** sequence) {
  const json& request = step.request;
  if (request.at("model").get<std::string>() != m_options.model ||
      request.at("first_layer").get<int>() != m_options.first_layer ||
      request.at("last_layer").get<int>() != m_options.last_layer) {
    return StepError("not_loaded", 0);
  }
  const std::string name = request.at("sequence").get<std::string>();
  const auto attempt = request.at("attempt").get<uint32_t>();
  const int first = request.value("first_token", 0);
  const auto found = m_sequences.find(name);
  if (found == m_sequences.end()) {
    if (first > 0) {
      return StepError("unknown_sequence", 0);
    }
    if (m_leaving) {
      return StepError("leaving", 0);
    }
    Sequence created;
    created.caches.assign(static_cast<size_t>(m_options.last_layer - m_options.first_layer), 0);
    *sequence = &(m_sequences[name] = std::move(created));
    ++m_new_sequences;
    m_last_new_sequence = steady_clock::now();
  } else {
    *sequence = &found->second;
  }
  Sequence& state = **sequence;
  if (attempt < state.attempt) {
    return StepError("stale_attempt", state.tokens);
  }
  if (state.moved) {
    return StepError("moved", state.tokens);
  }
  state.attempt = attempt;
  state.used = steady_clock::now();
  const int count = static_cast<int>(step.inputs.size());
  if (first + count > state.tokens && first != state.tokens) {
    return StepError("out_of_order", state.tokens);
  }
  return nullptr;
}

json FakeEngine::Run(const Step& step, Sequence* sequence) {
  const int first = sequence->tokens;
  for (const uint64_t input : step.inputs) {
    uint64_t value = input;
    for (int layer = m_options.first_layer; layer < m_options.last_layer; ++layer) {
      uint64_t* cache = &sequence->caches[static_cast<size_t>(layer - m_options.first_layer)];
      value = RunLayer(value, layer, sequence->tokens, cache);
    }
    sequence->outputs.push_back(value);
    ++sequence->tokens;
  }
  const int count = static_cast<int>(step.inputs.size());
  if (m_options.last_layer == m_options.total_layers) {
    sequence->samples[sequence->tokens] = SampleToken(sequence->outputs.back());
  }
  if (step.request.at("input").contains("text")) {
    NotePrefix(step.request["input"]["text"].get<std::string>());
  }
  LogRun(step, first, count);
  return ResultOf(step, *sequence, first, count);
}

json FakeEngine::ResultOf(const Step& step, const Sequence& sequence, int first, int count) {
  json result = {{"status", "ok"},
                 {"sequence", step.request["sequence"]},
                 {"attempt", step.request["attempt"]},
                 {"first_token", first},
                 {"token_count", count}};
  if (step.request.value("output", "handle") == "inline") {
    json values = json::array();
    for (int i = first; i < first + count; ++i) {
      values.push_back(ToHex(sequence.outputs[static_cast<size_t>(i)]));
    }
    result["activations"] = std::move(values);
  }
  const auto sample = sequence.samples.find(first + count);
  if (sample != sequence.samples.end()) {
    result["token"] = sample->second.token;
    result["text"] = sample->second.text;
    result["end"] = sample->second.end;
  }
  return result;
}

void FakeEngine::LogRun(const Step& step, int first, int count) {
  if (!m_log.is_open()) {
    return;
  }
  m_log << json({{"sequence", step.request["sequence"]},
                 {"attempt", step.request["attempt"]},
                 {"first_layer", m_options.first_layer},
                 {"last_layer", m_options.last_layer},
                 {"first_token", first},
                 {"token_count", count}})
               .dump()
        << "\n";
}

void FakeEngine::NotePrefix(const std::string& text) {
  for (const uint64_t prefix : PrefixHashes(text)) {
    if (std::find(m_prefixes.begin(), m_prefixes.end(), prefix) != m_prefixes.end()) {
      continue;
    }
    m_prefixes.push_back(prefix);
    const auto now = steady_clock::now();
    m_cache_events.push_back({m_next_event++, true, prefix, now});
    if (m_prefixes.size() > m_options.prefix_cache_blocks) {
      m_cache_events.push_back({m_next_event++, false, m_prefixes.front(), now});
      m_prefixes.pop_front();
    }
    if (m_next_event % kLostEventInterval == 0) {
      m_cache_events.pop_back();
    }
  }
  while (m_cache_events.size() > kCacheEventsKept) {
    m_cache_events.pop_front();
  }
}

FakeReply FakeEngine::Cancel(const json& body) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_sequences.find(body.at("sequence").get<std::string>());
  if (found == m_sequences.end()) {
    return JsonReply(404, {{"error", "unknown_sequence"}});
  }
  if (body.at("attempt").get<uint32_t>() < found->second.attempt) {
    return JsonReply(409, {{"error", "stale_attempt"}});
  }
  m_sequences.erase(found);
  return JsonReply(200, json::object());
}

FakeReply FakeEngine::RaiseAttempt(const json& body) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_sequences.find(body.at("sequence").get<std::string>());
  if (found == m_sequences.end()) {
    return JsonReply(404, {{"error", "unknown_sequence"}});
  }
  Sequence& sequence = found->second;
  const auto attempt = body.at("attempt").get<uint32_t>();
  if (attempt <= sequence.attempt) {
    return JsonReply(409, {{"error", "stale_attempt"}, {"attempt", sequence.attempt}});
  }
  sequence.attempt = attempt;
  sequence.used = steady_clock::now();
  json outputs = json::array();
  for (const auto& [position, sample] : sequence.samples) {
    outputs.push_back({{"token", sample.token}, {"text", sample.text}, {"end", sample.end}});
  }
  return JsonReply(200, {{"tokens", sequence.tokens}, {"attempt", attempt}, {"outputs", outputs}});
}

FakeReply FakeEngine::Activations(const FakeRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_sequences.find(request.Query("sequence", ""));
  const int64_t first = request.QueryInt("first_token", 0);
  const int64_t count = request.QueryInt("token_count", 1);
  if (found == m_sequences.end() || request.QueryInt("layer", 0) != m_options.last_layer ||
      first + count > found->second.tokens) {
    return JsonReply(404, {{"error", "unknown_sequence"}});
  }
  found->second.used = steady_clock::now();
  json values = json::array();
  for (int64_t i = first; i < first + count; ++i) {
    values.push_back(ToHex(found->second.outputs[static_cast<size_t>(i)]));
  }
  return JsonReply(200, {{"activations", values}});
}

FakeReply FakeEngine::Export(const FakeRequest& request) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto found = m_sequences.find(request.Query("sequence", ""));
  if (found == m_sequences.end()) {
    return JsonReply(404, {{"error", "unknown_sequence"}});
  }
  Sequence& sequence = found->second;
  sequence.moved = true;
  json samples = json::array();
  for (const auto& [position, sample] : sequence.samples) {
    samples.push_back({position, sample.token, sample.text, sample.end});
  }
  return JsonReply(200, {{"tokens", sequence.tokens},
                         {"caches", sequence.caches},
                         {"outputs", sequence.outputs},
                         {"samples", samples}});
}

void FakeEngine::Import(const json& body, const ReplyFunction& reply) {
  const std::string path = "/v1/kv/export?sequence=" + body.at("sequence").get<std::string>();
  SendHttp("GET", body.at("from").get<std::string>(), path, "",
           [this, body, reply](int status, const std::string& exported) {
             reply(status == 200 ? InstallImport(body, exported)
                                 : JsonReply(502, {{"error", "source_failed"}}));
           });
}

FakeReply FakeEngine::InstallImport(const json& body, const std::string& exported) {
  const json source = json::parse(exported);
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_leaving) {
    return JsonReply(503, {{"error", "leaving"}});
  }
  const std::string name = body.at("sequence").get<std::string>();
  const auto attempt = body.at("attempt").get<uint32_t>();
  Sequence& sequence = m_sequences[name];
  if (attempt < sequence.attempt) {
    return JsonReply(409, {{"error", "stale_attempt"}});
  }
  sequence.attempt = attempt;
  sequence.tokens = source.at("tokens").get<int>();
  sequence.caches = source.at("caches").get<std::vector<uint64_t>>();
  sequence.outputs = source.at("outputs").get<std::vector<uint64_t>>();
  sequence.used = steady_clock::now();
  for (const json& sample : source.at("samples")) {
    sequence.samples[sample[0].get<int>()] = {sample[1].get<uint32_t>(),
                                              sample[2].get<std::string>(), sample[3].get<bool>()};
  }
  ++m_new_sequences;
  m_last_new_sequence = steady_clock::now();
  return JsonReply(200, {{"tokens", sequence.tokens}});
}

void FakeEngine::PurgeSequences() {
  const auto horizon = steady_clock::now() - m_options.sequence_ttl;
  for (auto it = m_sequences.begin(); it != m_sequences.end();) {
    it = it->second.used < horizon ? m_sequences.erase(it) : std::next(it);
  }
}

}  // namespace azuregw::fakes
