// Memory and latency model of an engine, computed from the service's engine profile and the
// engine's accelerator kind.

#ifndef AZUREGW_FLEET_ENGINE_MODEL_H_
#define AZUREGW_FLEET_ENGINE_MODEL_H_

#include <string>

#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// Estimates KV capacity, step time and prefill time of an engine for a given number of layers.
class EngineModel {
 public:
  // Creates the model of an engine with accelerator `kind`. `profile` must outlive the model. An
  // unknown kind is modeled with the least memory and the highest factors of all configured kinds.
  EngineModel(const EngineProfile& profile, const std::string& kind);

  // Returns the KV capacity left beside the weights of `layers` layers, in tokens x layers; 0 if
  // the weights do not fit.
  double KvTokenLayers(int layers) const;
  // Returns the maximum number of layers whose weights fit into memory.
  int MaxLayers() const;
  // Returns the time of one decode step through `layers` layers, in ms, with `running` concurrent
  // requests that hold `context_tokens` tokens of context in total.
  double StepMs(int layers, double running, double context_tokens) const;
  // Returns the time to prefill a prompt of `tokens` tokens through `layers` layers, in ms.
  double PrefillMs(int layers, double tokens) const;
  // Returns the fraction of the time that the engine spends on prompts if `running` requests of
  // typical size pass through its `layers` layers at any time.
  double PrefillUtilization(int layers, double running) const;
  // Returns the multiplier on step times of this accelerator kind.
  double StepFactor() const { return m_kind.step_factor; }

 private:
  const EngineProfile& m_profile;
  AcceleratorKind m_kind;
};

// Returns the time that a request of typical size takes on accelerators of average speed, in ms.
double TypicalDurationMs(const EngineProfile& profile);

}  // namespace azuregw

#endif  // AZUREGW_FLEET_ENGINE_MODEL_H_
