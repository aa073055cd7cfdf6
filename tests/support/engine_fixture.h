// Engines and a service profile like those of the users' deployments, for tests of decisions.

#ifndef TESTS_SUPPORT_ENGINE_FIXTURE_H_
#define TESTS_SUPPORT_ENGINE_FIXTURE_H_

#include <optional>
#include <string>
#include <vector>

#include "azuregw/fleet/fleet.h"
#include "azuregw/routes/routing_config.h"

namespace azuregw {

// 80 layers of 1,750 MB on three kinds of accelerators of unequal speed and memory.
inline EngineProfile MixedProfile() {
  EngineProfile profile;
  profile.model = "m";
  profile.layers = 80;
  profile.layer_mb = 1750;
  profile.kv_bytes_per_token = 918000;
  profile.activation_bytes_per_token = 45900;
  profile.step_ms = 1.02;
  profile.step_ms_per_sequence = 0.00714;
  profile.step_ms_per_context_k = 0.00956;
  profile.prefill_tokens_per_s = 105000;
  profile.prefill_ms_per_m_pairs = 0.309;
  profile.weight_load_s = 14;
  profile.zone_delay_ms = 0.75;
  profile.pipe_mbps = 26000;
  profile.slots = 192;
  profile.usual_prompt_tokens = 774;
  profile.usual_answer_tokens = 200;
  profile.kinds["a100"] = {"a100", 72000, 2.4, 3.2};
  profile.kinds["l40s"] = {"l40s", 43200, 5.6, 2.7};
  profile.kinds["l4"] = {"l4", 21600, 16, 8.2};
  return profile;
}

inline UpstreamRecord EngineRecordOf(const std::string& id, const std::string& domain,
                                     const std::string& kind, std::optional<LayerRange> layers) {
  UpstreamRecord record;
  record.id = id;
  record.service = "model";
  static int next_port = 1000;
  record.address = "10.0.0.1:" + std::to_string(next_port++);
  record.failure_domain = domain;
  record.slots = 192;
  record.started_ms = 1;
  record.accelerator = kind;
  record.layers = layers;
  return record;
}

// The engines of one deployment: 4 fast, 11 medium and 18 slow ones in three failure domains.
inline std::vector<UpstreamRecord> DeploymentEngines() {
  struct Group {
    const char* domain;
    const char* kind;
    int count;
  };
  const Group groups[] = {{"a", "a100", 1}, {"b", "a100", 1}, {"c", "a100", 2},
                          {"a", "l40s", 3}, {"b", "l40s", 6}, {"c", "l40s", 2},
                          {"a", "l4", 8},   {"b", "l4", 5},   {"c", "l4", 5}};
  std::vector<UpstreamRecord> records;
  for (const Group& group : groups) {
    for (int i = 0; i < group.count; ++i) {
      records.push_back(
          EngineRecordOf(std::string(group.kind) + "-" + group.domain + std::to_string(i),
                         group.domain, group.kind, std::nullopt));
    }
  }
  return records;
}

}  // namespace azuregw

#endif  // TESTS_SUPPORT_ENGINE_FIXTURE_H_
