// Engine figures of the deployments that the product is measured on, for tests and offline
// comparisons of layouts and paths.

#ifndef TESTS_SUPPORT_DEPLOYMENTS_H_
#define TESTS_SUPPORT_DEPLOYMENTS_H_

#include <string>
#include <vector>

#include "azuregw/fleet/fleet.h"
#include "azuregw/placement/layer_layout.h"
#include "azuregw/routes/routing_config.h"
#include "tests/support/engine_fixture.h"

namespace azuregw {

// Engines of one kind, by failure domain.
struct EngineCounts {
  std::string kind;
  std::vector<int> by_domain;
};

// Model service of a deployment and its usual load.
struct Deployment {
  std::string name;
  EngineProfile profile;
  std::vector<EngineCounts> engines;
  double streams_per_s = 0;
  int instances = 0;

  // Returns all engines without layers; failure domains are named "a", "b" and so on.
  std::vector<UpstreamRecord> Records() const {
    std::vector<UpstreamRecord> records;
    for (const EngineCounts& counts : engines) {
      for (size_t domain = 0; domain < counts.by_domain.size(); ++domain) {
        const std::string name_of_domain(1, static_cast<char>('a' + domain));
        for (int i = 0; i < counts.by_domain[domain]; ++i) {
          records.push_back(EngineRecordOf(counts.kind + "-" + name_of_domain + std::to_string(i),
                                           name_of_domain, counts.kind, std::nullopt));
        }
      }
    }
    return records;
  }
  std::vector<LayoutEngine> LayoutEngines() const {
    std::vector<LayoutEngine> result;
    for (const UpstreamRecord& record : Records()) {
      result.push_back({record.id, record.failure_domain, record.accelerator, std::nullopt});
    }
    return result;
  }
};

// Returns the profile shared by the deployments with a100, l40s and l4 accelerators.
inline EngineProfile DathannaProfile(double kv_bytes_per_token, double prefill_tokens_per_s,
                                     double pipe_mbps) {
  EngineProfile profile = MixedProfile();
  const double scale = kv_bytes_per_token / profile.kv_bytes_per_token;
  profile.kv_bytes_per_token = kv_bytes_per_token;
  profile.activation_bytes_per_token *= scale;
  profile.step_ms_per_sequence *= scale;
  profile.step_ms_per_context_k *= scale;
  profile.prefill_tokens_per_s = prefill_tokens_per_s;
  profile.prefill_ms_per_m_pairs *= scale;
  profile.pipe_mbps = pipe_mbps;
  return profile;
}

// Returns the profile shared by the deployments with a100s, l4 and t4 accelerators.
inline EngineProfile LietusmucaProfile(double kv_bytes_per_token, double prefill_tokens_per_s,
                                       double pipe_mbps) {
  EngineProfile profile = MixedProfile();
  profile.kv_bytes_per_token = kv_bytes_per_token;
  profile.activation_bytes_per_token = kv_bytes_per_token / 20;
  profile.step_ms = 0.85;
  profile.step_ms_per_sequence = 6.48e-9 * kv_bytes_per_token;
  profile.step_ms_per_context_k = 8.69e-9 * kv_bytes_per_token;
  profile.prefill_tokens_per_s = prefill_tokens_per_s;
  profile.prefill_ms_per_m_pairs = 2.82e-7 * kv_bytes_per_token;
  profile.zone_delay_ms = 0.42;
  profile.pipe_mbps = pipe_mbps;
  profile.usual_prompt_tokens = 770;
  profile.usual_answer_tokens = 150;
  profile.kinds.clear();
  profile.kinds["a100s"] = {"a100s", 36000, 3.1, 3.2};
  profile.kinds["l4"] = {"l4", 21600, 16, 8.2};
  profile.kinds["t4"] = {"t4", 14400, 15, 15};
  return profile;
}

// Returns the deployments, smallest first.
inline std::vector<Deployment> Deployments() {
  return {
      {"dathanna",
       DathannaProfile(918000, 105000, 26000),
       {{"a100", {1, 1, 2}}, {"l40s", {3, 6, 2}}, {"l4", {8, 5, 5}}},
       79,
       9},
      {"lietusmuca",
       LietusmucaProfile(426000, 272000, 6500),
       {{"a100s", {1, 3, 1}}, {"l4", {8, 3, 4}}, {"t4", {5, 5, 8}}},
       65,
       9},
      {"dathanna grown",
       DathannaProfile(590000, 164000, 10400),
       {{"a100", {2, 2, 4}}, {"l40s", {9, 15, 6}}, {"l4", {22, 12, 14}}},
       304,
       89},
      {"swanlink grown",
       DathannaProfile(590000, 164000, 10400),
       {{"a100", {2, 1, 3, 2}}, {"l40s", {7, 11, 5, 7}}, {"l4", {15, 8, 10, 15}}},
       304,
       77},
      {"lietusmuca grown",
       LietusmucaProfile(360000, 321000, 2720),
       {{"a100s", {1, 4, 2}}, {"l4", {22, 9, 13}}, {"t4", {12, 14, 22}}},
       208,
       88},
      {"dathanna large",
       DathannaProfile(754000, 128000, 18000),
       {{"a100", {4, 2, 6, 4, 2}}, {"l40s", {11, 18, 8, 11, 18}}, {"l4", {28, 16, 19, 28, 15}}},
       490,
       295},
  };
}

}  // namespace azuregw

#endif  // TESTS_SUPPORT_DEPLOYMENTS_H_
