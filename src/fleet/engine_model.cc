// Implements the memory and latency model of an engine.

#include "azuregw/fleet/engine_model.h"

#include <algorithm>

namespace azuregw {

EngineModel::EngineModel(const EngineProfile& profile, const std::string& kind)
    : m_profile(profile) {
  const auto found = profile.kinds.find(kind);
  if (found != profile.kinds.end()) {
    m_kind = found->second;
    return;
  }
  for (const auto& [name, candidate] : profile.kinds) {
    m_kind.memory_mb = m_kind.memory_mb == 0 ? candidate.memory_mb
                                             : std::min(m_kind.memory_mb, candidate.memory_mb);
    m_kind.step_factor = std::max(m_kind.step_factor, candidate.step_factor);
    m_kind.prefill_factor = std::max(m_kind.prefill_factor, candidate.prefill_factor);
  }
}

double EngineModel::KvTokenLayers(int layers) const {
  const double free_mb = m_kind.memory_mb - layers * m_profile.layer_mb;
  const double bytes_per_token_layer = m_profile.kv_bytes_per_token / m_profile.layers;
  return std::max(0.0, free_mb * 1e6 / bytes_per_token_layer);
}

int EngineModel::MaxLayers() const {
  return std::min(m_profile.layers, static_cast<int>(m_kind.memory_mb / m_profile.layer_mb));
}

double EngineModel::StepMs(int layers, double running, double context_tokens) const {
  const double share = static_cast<double>(layers) / m_profile.layers;
  return share * m_kind.step_factor *
         (m_profile.step_ms + m_profile.step_ms_per_sequence * running +
          m_profile.step_ms_per_context_k * context_tokens / 1000);
}

double EngineModel::PrefillMs(int layers, double tokens) const {
  const double share = static_cast<double>(layers) / m_profile.layers;
  const double million_pairs = tokens * tokens / 2 / 1e6;
  return share * m_kind.prefill_factor *
         (tokens * 1000 / m_profile.prefill_tokens_per_s +
          m_profile.prefill_ms_per_m_pairs * million_pairs);
}

double EngineModel::PrefillUtilization(int layers, double running) const {
  const double duration_ms = TypicalDurationMs(m_profile);
  return duration_ms <= 0
             ? 0
             : running * PrefillMs(layers, m_profile.usual_prompt_tokens) / duration_ms;
}

double TypicalDurationMs(const EngineProfile& profile) {
  if (profile.kinds.empty()) {
    return 0;
  }
  double factors = 0;
  for (const auto& [name, kind] : profile.kinds) {
    factors += kind.step_factor;
  }
  return profile.usual_answer_tokens * profile.step_ms * factors /
         static_cast<double>(profile.kinds.size());
}

}  // namespace azuregw
