// Simulated engines: steps, attempts, and export and import of sequences.

#include <algorithm>
#include <utility>

#include "tests/pipeline/session_simulation.h"

namespace azuregw::testing {

bool SessionSimulation::IsResponsive(const Engine& engine) const {
  return engine.down_until <= m_now && engine.frozen_until <= m_now;
}

SessionSimulation::Engine* SessionSimulation::Find(const std::string& address) {
  return &m_engines.at(address);
}

Result<std::vector<uint64_t>> SessionSimulation::Inputs(const StepRequest& request) {
  std::vector<uint64_t> inputs;
  std::vector<uint32_t> tokens;
  if (const auto* text = std::get_if<PromptText>(&request.input)) {
    tokens = fakes::Tokenize(text->text);
  } else if (const auto* ids = std::get_if<TokenIds>(&request.input)) {
    tokens = ids->ids;
  } else if (const auto* values = std::get_if<InlineActivations>(&request.input)) {
    for (const std::string& value : values->values) {
      inputs.push_back(fakes::FromHex(value));
    }
  } else {
    const auto& fetch = std::get<FetchActivations>(request.input);
    const Engine& source = *Find(fetch.address);
    const auto found = source.sequences.find(fetch.sequence);
    const size_t end = static_cast<size_t>(fetch.first_token + fetch.token_count);
    if (!IsResponsive(source) || found == source.sequences.end() ||
        end > found->second.outputs.size()) {
      return NotRun(ResultCode::kFetchFailed, "fetch failed");
    }
    inputs.assign(found->second.outputs.begin() + fetch.first_token,
                  found->second.outputs.begin() + static_cast<std::ptrdiff_t>(end));
  }
  for (size_t i = 0; i < tokens.size(); ++i) {
    inputs.push_back(fakes::Embed(tokens[i], request.first_token + static_cast<int>(i)));
  }
  return inputs;
}

std::optional<Error> SessionSimulation::CheckStep(Engine* engine, const StepRequest& request,
                                                  int count) {
  const auto found = engine->sequences.find(request.sequence);
  if (found == engine->sequences.end()) {
    if (request.first_token > 0) {
      return NotRun(ResultCode::kUnknownSequence, "unknown_sequence");
    }
    if (engine->leaving) {
      return NotRun(ResultCode::kUpstreamLeaving, "leaving");
    }
    engine->sequences[request.sequence].caches.assign(kLayersPerStage, 0);
    engine->sequences[request.sequence].attempt = request.attempt;
    return std::nullopt;
  }
  Sequence& sequence = found->second;
  const int tokens = static_cast<int>(sequence.outputs.size());
  if (request.attempt < sequence.attempt) {
    return NotRun(ResultCode::kStaleAttempt, "stale_attempt");
  }
  if (sequence.moved) {
    return NotRun(ResultCode::kUpstreamRefused, "moved");
  }
  sequence.attempt = request.attempt;
  if (request.first_token + count > tokens && request.first_token != tokens) {
    return NotRun(ResultCode::kUpstreamRefused, "out_of_order");
  }
  return std::nullopt;
}

Result<StepResult> SessionSimulation::Execute(Engine* engine, const StepRequest& request) {
  if (engine->down_until > m_now) {
    return NotRun(ResultCode::kUpstreamUnreachable, "refused");
  }
  const auto inputs = Inputs(request);
  if (!inputs) {
    return inputs.error();
  }
  const int count = static_cast<int>(inputs.value().size());
  if (const auto error = CheckStep(engine, request, count)) {
    return *error;
  }
  const Sequence& sequence = engine->sequences.at(request.sequence);
  if (request.first_token + count > static_cast<int>(sequence.outputs.size())) {
    RunTokens(engine, request, inputs.value());
  }
  return ResultOf(sequence, request, count);
}

void SessionSimulation::RunTokens(Engine* engine, const StepRequest& request,
                                  const std::vector<uint64_t>& inputs) {
  Sequence& sequence = engine->sequences.at(request.sequence);
  for (uint64_t value : inputs) {
    const int token = static_cast<int>(sequence.outputs.size());
    for (int i = 0; i < kLayersPerStage; ++i) {
      const int layer = request.range.first + i;
      value = fakes::RunLayer(value, layer, token, &sequence.caches[static_cast<size_t>(i)]);
      if (!m_executed.emplace(request.sequence, layer, token).second) {
        ReportViolation("(" + request.sequence + ", layer " + std::to_string(layer) + ", token " +
                        std::to_string(token) + ") ran twice");
      }
    }
    sequence.outputs.push_back(value);
  }
  if (request.range.last == m_options.stages * kLayersPerStage) {
    uint64_t output = sequence.outputs.back();
    if (m_options.random_sampling) {
      output = fakes::MixWords(output, fakes::Embed(1, static_cast<int>(m_executed.size())), 7);
    }
    const int before = static_cast<int>(sequence.outputs.size());
    if (sequence.outputs.back() != ReferenceValue(before)) {
      ReportViolation("the last stage of " + request.sequence +
                      " ran other tokens than the caller's");
    }
    sequence.samples[before] = fakes::SampleToken(output);
    m_sampled[{request.sequence, before}] = sequence.samples[before].text;
  }
}

StepResult SessionSimulation::ResultOf(const Sequence& sequence, const StepRequest& request,
                                       int count) {
  StepResult result;
  result.sequence = request.sequence;
  result.attempt = request.attempt;
  result.first_token = request.first_token;
  result.token_count = count;
  if (request.output == ActivationTransfer::kInline) {
    for (int i = 0; i < count; ++i) {
      result.activations.push_back(
          fakes::ToHex(sequence.outputs[static_cast<size_t>(request.first_token + i)]));
    }
  }
  const auto sample = sequence.samples.find(request.first_token + count);
  if (sample != sequence.samples.end()) {
    result.has_token = true;
    result.token = sample->second.token;
    result.text = sample->second.text;
    result.end = sample->second.end;
  }
  return result;
}

void SessionSimulation::Perform(const RaiseAttempt& action) {
  RecordLineage(action.stage, action.sequence);
  const int number = m_session_number;
  After(Milliseconds(2), [this, action, number] {
    Engine* engine = Find(action.address);
    if (engine->frozen_until > m_now) {
      return;
    }
    Result<AttemptReply> reply = AttemptReply();
    const auto found = engine->sequences.find(action.sequence);
    if (engine->down_until > m_now) {
      reply = NotRun(ResultCode::kUpstreamUnreachable, "refused");
    } else if (found == engine->sequences.end() || found->second.moved) {
      reply = NotRun(ResultCode::kUnknownSequence, "unknown_sequence");
    } else if (found->second.attempt >= action.attempt) {
      reply = NotRun(ResultCode::kStaleAttempt, "stale_attempt");
    } else {
      found->second.attempt = action.attempt;
      reply.value().tokens = static_cast<int>(found->second.outputs.size());
      for (const auto& [position, sample] : found->second.samples) {
        reply.value().outputs.push_back({sample.token, sample.text, sample.end});
      }
    }
    if (number == m_session_number) {
      Post(AttemptRaised{action.stage, action.attempt, reply});
    }
  });
}

void SessionSimulation::Perform(const ProbeEngine& action) {
  const int number = m_session_number;
  After(Milliseconds(2), [this, action, number] {
    const Engine& engine = *Find(action.address);
    if (engine.frozen_until <= m_now && number == m_session_number) {
      Post(ProbeDone{action.stage, action.probe, engine.down_until <= m_now});
    }
  });
}

void SessionSimulation::Perform(const ImportKv& action) {
  const int number = m_session_number;
  After(Milliseconds(2), [this, action, number] {
    Engine* target = Find(action.address);
    Engine* source = Find(action.source);
    if (target->frozen_until > m_now || source->frozen_until > m_now) {
      return;
    }
    Result<int> tokens = NotRun(ResultCode::kFetchFailed, "source failed");
    const auto found = source->sequences.find(action.sequence);
    if (target->down_until <= m_now && source->down_until <= m_now && !target->leaving &&
        found != source->sequences.end()) {
      found->second.moved = true;
      Sequence copy = found->second;
      copy.moved = false;
      copy.attempt = action.attempt;
      tokens = static_cast<int>(copy.outputs.size());
      target->sequences[action.sequence] = std::move(copy);
    }
    if (number == m_session_number) {
      Post(ImportDone{action.stage, action.sequence, action.attempt, tokens});
    }
  });
}

void SessionSimulation::Perform(const Cancel& action) {
  After(Milliseconds(1), [this, action] {
    Engine* engine = Find(action.address);
    const auto found = engine->sequences.find(action.sequence);
    if (IsResponsive(*engine) && found != engine->sequences.end() &&
        found->second.attempt <= action.attempt) {
      engine->sequences.erase(found);
    }
  });
}

}  // namespace azuregw::testing
