// A chain: an ordered list of engines that together run every layer of a model exactly once.

#ifndef AZUREGW_ROUTING_CHAIN_H_
#define AZUREGW_ROUTING_CHAIN_H_

#include <string>
#include <vector>

#include "azuregw/preset/preset.h"

namespace azuregw {

// One engine of a chain and the layers it runs.
struct ChainStage {
  std::string upstream;  // Name of the upstream in the preset.
  std::string address;   // "IP:port"
  LayerRange range;
  std::string failure_domain;
};

// The engines that run a request, and the latency expected of them.
struct Chain {
  std::vector<ChainStage> stages;  // Contiguous ranges, from layer 0 to the model's last layer.
  double expected_step_ms = 0;  // Time per token through all stages at the load known at selection.
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_CHAIN_H_
