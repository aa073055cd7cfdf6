// Presets of different sizes for benchmarks.

#ifndef BENCH_FLEET_PRESET_H_
#define BENCH_FLEET_PRESET_H_

#include <memory>
#include <string>

#include "azuregw/control/snapshot.h"

namespace azuregw {

// `engines` engines over `models` models of 32 layers in four ranges, eight kinds of accelerator,
// five failure domains in two regions, and 300 workspaces.
inline std::shared_ptr<const Preset> MakeFleetPreset(int engines, int models) {
  auto preset = std::make_shared<Preset>();
  for (int m = 0; m < models; ++m) {
    preset->models["model-" + std::to_string(m)].layers = 32;
  }
  for (int i = 0; i < engines; ++i) {
    EngineSpec engine;
    engine.name = "engine-" + std::to_string(i);
    engine.address = "127.0.0.1:" + std::to_string(10000 + i);
    engine.model = "model-" + std::to_string(i % models);
    const int range = (i / models) % 4;
    engine.range = {8 * range, 8 * range + 8};
    engine.kind = "kind-" + std::to_string((i / 7) % 8);
    engine.failure_domain = "fd-" + std::to_string((i / 3) % 5);
    engine.capacity = 400;
    engine.step_ms = 5 + (i / 7) % 8;
    preset->engines[engine.name] = engine;
  }
  for (int a = 0; a < 5; ++a) {
    for (int b = a + 1; b < 5; ++b) {
      const bool one_region = (a < 3) == (b < 3);
      preset->links["fd-" + std::to_string(a)]["fd-" + std::to_string(b)] = one_region ? 0.5 : 50;
    }
  }
  for (int w = 0; w < 300; ++w) {
    WorkspaceSpec& workspace = preset->workspaces["workspace-" + std::to_string(w)];
    workspace.weight = 1 + w % 7;
    workspace.max_inflight = 1000000;
  }
  return preset;
}

inline std::shared_ptr<const Snapshot> MakeFleetSnapshot(int engines, int models,
                                                         uint64_t revision = 1) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->preset = MakeFleetPreset(engines, models);
  snapshot->topology_revision = revision;
  snapshot->self = "gw-0";
  snapshot->failure_domain = "fd-0";
  snapshot->members.resize(engines > 1000 ? 600 : 9);
  return snapshot;
}

}  // namespace azuregw

#endif  // BENCH_FLEET_PRESET_H_
