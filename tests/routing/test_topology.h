// Builder of presets and snapshots for tests.

#ifndef TESTS_ROUTING_TEST_TOPOLOGY_H_
#define TESTS_ROUTING_TEST_TOPOLOGY_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "azuregw/control/snapshot.h"

namespace azuregw {

// Builds a preset with one model, "design", and snapshots of it for instance "gw-0" in "fd-a".
class TestTopology {
 public:
  explicit TestTopology(int layers) { m_preset.models["design"].layers = layers; }

  // Adds `count` engines of one range and returns their names.
  std::vector<std::string> AddEngines(LayerRange range, int count, const std::string& kind,
                                      const std::string& domain, int capacity = 8,
                                      double step_ms = 10.0) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) {
      EngineSpec engine;
      engine.name = "engine-" + std::to_string(m_preset.engines.size());
      engine.address = "127.0.0.1:" + std::to_string(9000 + m_preset.engines.size());
      engine.model = "design";
      engine.range = range;
      engine.kind = kind;
      engine.failure_domain = domain;
      engine.capacity = capacity;
      engine.step_ms = step_ms;
      names.push_back(engine.name);
      m_preset.engines[engine.name] = engine;
    }
    return names;
  }

  // Sets the one-way link time between two failure domains.
  void SetLink(const std::string& from, const std::string& to, double ms) {
    m_preset.links[from][to] = ms;
  }

  Preset* preset() { return &m_preset; }

  // Returns a snapshot of the current preset; each has a higher topology revision than the last.
  Snapshot MakeSnapshot(const std::set<std::string>& leaving = {}) {
    Snapshot snapshot;
    snapshot.preset = std::make_shared<Preset>(m_preset);
    snapshot.topology_revision = ++m_revision;
    snapshot.leaving_upstreams = leaving;
    snapshot.self = "gw-0";
    snapshot.failure_domain = "fd-a";
    return snapshot;
  }

 private:
  Preset m_preset;
  uint64_t m_revision = 0;
};

}  // namespace azuregw

#endif  // TESTS_ROUTING_TEST_TOPOLOGY_H_
