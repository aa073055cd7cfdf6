// Chains: engines that together cover every layer of a model once, in order.

#ifndef AZUREGW_ROUTING_CHAIN_H_
#define AZUREGW_ROUTING_CHAIN_H_

#include <string>
#include <vector>

#include "azuregw/preset/preset.h"

namespace azuregw {

struct ChainStage {
  std::string upstream;  // Name in the preset.
  std::string address;   // "IP:port"
  LayerRange range;
  std::string failure_domain;
};

struct Chain {
  std::vector<ChainStage> stages;  // Ranges are adjacent, from layer 0 to the model's last layer.
  double expected_step_ms = 0;     // Time of one token through all stages at the load known now.
};

}  // namespace azuregw

#endif  // AZUREGW_ROUTING_CHAIN_H_
