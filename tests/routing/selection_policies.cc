// Selection policies compared in the fleet simulation.

#include <algorithm>
#include <map>
#include <set>

#include "tests/routing/fleet_simulation.h"

namespace azuregw {
namespace {

// Base of policies that choose an engine per range. Requires presets without overlapping ranges.
class PerRangePolicy : public SelectionPolicy {
 public:
  std::vector<std::string> Choose(const Snapshot& snapshot, const std::vector<uint64_t>& prefix,
                                  TimePoint now) override {
    std::map<LayerRange, std::vector<std::string>> ranges;
    for (const auto& [name, spec] : snapshot.preset->engines) {
      ranges[spec.range].push_back(name);
    }
    std::vector<std::string> chain;
    for (const auto& [range, engines] : ranges) {
      chain.push_back(Pick(range, engines));
    }
    return chain;
  }

  std::string Replace(const Snapshot& snapshot, const std::string& failed, TimePoint now) override {
    const LayerRange range = snapshot.preset->engines.at(failed).range;
    std::vector<std::string> engines;
    for (const auto& [name, spec] : snapshot.preset->engines) {
      if (spec.range == range && name != failed) {
        engines.push_back(name);
      }
    }
    return Pick(range, engines);
  }

 protected:
  virtual std::string Pick(LayerRange range, const std::vector<std::string>& engines) = 0;
};

// Chooses a uniformly random engine.
class RandomChoice final : public PerRangePolicy {
 public:
  explicit RandomChoice(uint64_t seed) : m_random(MakeRandom(seed)) {}

 private:
  std::string Pick(LayerRange range, const std::vector<std::string>& engines) override {
    return engines[m_random->Below(engines.size())];
  }
  std::unique_ptr<Random> m_random;
};

// Chooses the engines of a range in turn; `start` offsets the instances.
class RoundRobin final : public PerRangePolicy {
 public:
  explicit RoundRobin(size_t start) : m_start(start) {}

 private:
  std::string Pick(LayerRange range, const std::vector<std::string>& engines) override {
    return engines[(m_start + m_next[range]++) % engines.size()];
  }
  const size_t m_start;
  std::map<LayerRange, size_t> m_next;
};

// Chooses an engine with the lowest utilisation in the last report; ties are broken randomly.
class LeastReportedLoad final : public PerRangePolicy {
 public:
  explicit LeastReportedLoad(uint64_t seed) : m_random(MakeRandom(seed)) {}
  void OnLoad(const std::string& engine, const EngineLoad& load, TimePoint now) override {
    m_load[engine] = static_cast<double>(load.running + load.waiting) / load.capacity;
  }

 private:
  std::string Pick(LayerRange range, const std::vector<std::string>& engines) override {
    std::vector<std::string> least;
    for (const std::string& engine : engines) {
      if (!least.empty() && m_load[engine] > m_load[least[0]]) {
        continue;
      }
      if (!least.empty() && m_load[engine] < m_load[least[0]]) {
        least.clear();
      }
      least.push_back(engine);
    }
    return least[m_random->Below(least.size())];
  }
  std::unique_ptr<Random> m_random;
  std::map<std::string, double> m_load;
};

// Chooses with a ChainSelector.
class SelectorPolicy final : public SelectionPolicy {
 public:
  SelectorPolicy(uint64_t seed, const SelectorOptions& options)
      : m_selector(MakeChainSelector(MakeRandom(seed), options)) {}

  std::vector<std::string> Choose(const Snapshot& snapshot, const std::vector<uint64_t>& prefix,
                                  TimePoint now) override {
    const Result<Chain> chain = m_selector->Select(snapshot, {"design", prefix}, now);
    std::vector<std::string> names;
    for (const ChainStage& stage : chain.value().stages) {
      names.push_back(stage.upstream);
    }
    return names;
  }
  std::string Replace(const Snapshot& snapshot, const std::string& failed, TimePoint now) override {
    const EngineSpec& spec = snapshot.preset->engines.at(failed);
    const std::vector<std::string> excluded = {failed};
    return m_selector
        ->SelectReplacement(snapshot, "design", spec.range, excluded, spec.failure_domain, now)
        .value()
        .upstream;
  }
  void OnStart(const std::string& engine) override { m_selector->OnSequenceStart(engine); }
  void OnEnd(const std::string& engine) override { m_selector->OnSequenceEnd(engine); }
  void OnStep(const std::string& engine, double ms, ResultCode code, TimePoint now) override {
    m_selector->OnStep(engine, ms, code, nullptr, now);
  }
  void OnLoad(const std::string& engine, const EngineLoad& load, TimePoint now) override {
    m_selector->OnLoad(engine, load, now);
  }
  void OnCacheEvents(const std::string& engine, const CacheEvents& events) override {
    m_selector->OnCacheEvents(engine, events);
  }

 private:
  std::unique_ptr<ChainSelector> m_selector;
};

}  // namespace

PolicyFactory RandomPolicy() {
  return [](int instance) { return std::make_unique<RandomChoice>(100 + instance); };
}

PolicyFactory RoundRobinPolicy() {
  return [](int instance) { return std::make_unique<RoundRobin>(instance); };
}

PolicyFactory LeastReportedLoadPolicy() {
  return [](int instance) { return std::make_unique<LeastReportedLoad>(100 + instance); };
}

PolicyFactory ChainSelectorPolicy(const SelectorOptions& options) {
  return
      [options](int instance) { return std::make_unique<SelectorPolicy>(100 + instance, options); };
}

}  // namespace azuregw
