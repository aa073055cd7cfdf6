// Baseline policies.

#include "bench/baseline/baseline_selector.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

using EngineList = std::vector<const EngineSpec*>;

// Picks one of the engines of a range.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual const EngineSpec* Pick(const EngineList& engines) = 0;
  virtual void OnLoad(const std::string& /*upstream*/, const EngineLoad& /*load*/) {}
};

class RandomPolicy final : public Policy {
 public:
  explicit RandomPolicy(std::unique_ptr<Random> random) : m_random(std::move(random)) {}
  const EngineSpec* Pick(const EngineList& engines) override {
    return engines[m_random->Below(engines.size())];
  }

 private:
  std::unique_ptr<Random> m_random;
};

class RoundRobinPolicy final : public Policy {
 public:
  const EngineSpec* Pick(const EngineList& engines) override {
    return engines[m_next[engines.front()->range]++ % engines.size()];
  }

 private:
  std::map<LayerRange, size_t> m_next;
};

class LeastReportedPolicy final : public Policy {
 public:
  const EngineSpec* Pick(const EngineList& engines) override {
    return *std::min_element(engines.begin(), engines.end(),
                             [this](const EngineSpec* a, const EngineSpec* b) {
                               return m_load[a->name] < m_load[b->name];
                             });
  }
  void OnLoad(const std::string& upstream, const EngineLoad& load) override {
    m_load[upstream] = load.running + load.waiting;
  }

 private:
  std::map<std::string, int> m_load;
};

class BaselineSelector final : public ChainSelector {
 public:
  explicit BaselineSelector(std::unique_ptr<Policy> policy) : m_policy(std::move(policy)) {}

  Result<Chain> Select(const Snapshot& snapshot, const ChainRequest& request,
                       TimePoint /*now*/) override {
    const auto model = snapshot.preset->models.find(request.model);
    if (model == snapshot.preset->models.end()) {
      return NotRun(ResultCode::kUnknownModel, "no model '" + request.model + "'");
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    Chain chain;
    for (int boundary = 0; boundary < model->second.layers;) {
      const EngineList engines = Usable(
          snapshot, request.model, [&](const EngineSpec& e) { return e.range.first == boundary; });
      if (engines.empty()) {
        return NotRun(ResultCode::kNoChain, "no engine from layer " + std::to_string(boundary));
      }
      const EngineSpec* engine = m_policy->Pick(engines);
      chain.stages.push_back(StageOf(*engine));
      chain.expected_step_ms += engine->step_ms;
      boundary = engine->range.last;
    }
    return chain;
  }

  Result<ChainStage> SelectReplacement(const Snapshot& snapshot, const std::string& model,
                                       LayerRange range, gsl::span<const std::string> excluded,
                                       const std::string& /*previous_domain*/,
                                       TimePoint /*now*/) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const EngineList engines = Usable(snapshot, model, [&](const EngineSpec& e) {
      return e.range == range &&
             std::find(excluded.begin(), excluded.end(), e.name) == excluded.end();
    });
    if (engines.empty()) {
      return NotRun(ResultCode::kNoChain, "no replacement");
    }
    return StageOf(*m_policy->Pick(engines));
  }

  void OnSequenceStart(const std::string& /*upstream*/) override {}
  void OnSequenceEnd(const std::string& /*upstream*/) override {}
  void OnStep(const std::string& upstream, double /*ms_per_token*/, ResultCode /*code*/,
              const EngineLoad* load, TimePoint now) override {
    if (load != nullptr) {
      OnLoad(upstream, *load, now);
    }
  }
  void OnLoad(const std::string& upstream, const EngineLoad& load, TimePoint /*now*/) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_policy->OnLoad(upstream, load);
  }
  void OnCacheEvents(const std::string& /*upstream*/, const CacheEvents& /*events*/) override {}

 private:
  template <class Predicate>
  static EngineList Usable(const Snapshot& snapshot, const std::string& model,
                           Predicate predicate) {
    EngineList engines;
    for (const auto& [name, engine] : snapshot.preset->engines) {
      if (engine.model == model && snapshot.leaving_upstreams.count(name) == 0 &&
          predicate(engine)) {
        engines.push_back(&engine);
      }
    }
    return engines;
  }

  static ChainStage StageOf(const EngineSpec& engine) {
    return ChainStage{engine.name, engine.address, engine.range, engine.failure_domain};
  }

  std::mutex m_mutex;
  std::unique_ptr<Policy> m_policy;
};

}  // namespace

std::unique_ptr<ChainSelector> MakeBaselineSelector(const std::string& policy,
                                                    std::unique_ptr<Random> random) {
  std::unique_ptr<Policy> chosen;
  if (policy == "random") {
    chosen = std::make_unique<RandomPolicy>(std::move(random));
  } else if (policy == "round_robin") {
    chosen = std::make_unique<RoundRobinPolicy>();
  } else if (policy == "least_reported") {
    chosen = std::make_unique<LeastReportedPolicy>();
  } else {
    return nullptr;
  }
  return std::make_unique<BaselineSelector>(std::move(chosen));
}

}  // namespace azuregw
