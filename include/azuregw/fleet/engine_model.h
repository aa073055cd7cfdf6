// What an engine with a range of layers can hold and how long its work takes, from the figures that
// the configuration states for its service and its kind of accelerator.

#ifndef AZUREGW_FLEET_ENGINE_MODEL_H_
#define AZUREGW_FLEET_ENGINE_MODEL_H_

#include <string>

#include "azuregw/preset/preset.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

class EngineModel {
 public:
  // `profile` must outlive the model. An unknown kind counts as the slowest and smallest one
  // listed.
  EngineModel(const EngineProfile& profile, const std::string& kind);

  // KV memory beside `layers` layers of weights, in tokens x layers; 0 when the weights do not fit.
  double KvTokenLayers(int layers) const;
  // Most layers whose weights fit into the memory.
  int MaxLayers() const;
  // Time of one token's step through `layers` layers beside `running` requests with
  // `context_tokens` tokens in all, in ms.
  double StepMs(int layers, double running, double context_tokens) const;
  // Time to read a prompt through `layers` layers, in ms.
  double PrefillMs(int layers, double tokens) const;
  double StepFactor() const { return m_kind.step_factor; }

 private:
  const EngineProfile& m_profile;
  AcceleratorKind m_kind;
};

}  // namespace azuregw

#endif  // AZUREGW_FLEET_ENGINE_MODEL_H_
