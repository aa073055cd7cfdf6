// Presets at the target size: 3,600 engines, 36 models, 300 workspaces.

#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>
#include <string>

#include "azuregw/preset/preset_codec.h"
#include "azuregw/preset/preset_record.h"
#include "azuregw/preset/preset_tracker.h"

namespace azuregw {
namespace {

constexpr int kModels = 36;
constexpr int kEnginesPerModel = 100;
constexpr int kRangesPerModel = 4;
constexpr int kLayers = 48;
constexpr int kWorkspaces = 300;
constexpr int kDomains = 5;

EngineSpec TargetEngine(int model, int index) {
  const int number = model * kEnginesPerModel + index;
  const int range = index % kRangesPerModel;
  EngineSpec engine;
  engine.name = "engine-" + std::to_string(number);
  engine.address =
      "10." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ".1:9001";
  engine.model = "model-" + std::to_string(model);
  engine.range = {range * kLayers / kRangesPerModel, (range + 1) * kLayers / kRangesPerModel};
  engine.kind = "kind-" + std::to_string(number % 8);
  engine.failure_domain = "fd-" + std::to_string(number % kDomains);
  engine.capacity = 16;
  engine.step_ms = 7.5;
  engine.checks_fencing = number % 2 == 0;
  engine.version = "2026-01";
  engine.role = "decode";
  return engine;
}

Preset TargetPreset() {
  Preset preset;
  preset.name = "ordinary";
  for (int model = 0; model < kModels; ++model) {
    ModelSpec& spec = preset.models["model-" + std::to_string(model)];
    spec.layers = kLayers;
    for (int index = 0; index < kEnginesPerModel; ++index) {
      const EngineSpec engine = TargetEngine(model, index);
      preset.engines[engine.name] = engine;
    }
  }
  for (int i = 0; i < kWorkspaces; ++i) {
    std::string key = std::to_string(i);
    key.insert(0, 64 - key.size(), 'a');
    preset.workspaces["workspace-" + std::to_string(i)].key_sha256 = key;
  }
  return preset;
}

void BM_EncodePreset(benchmark::State& state) {
  const Preset preset = TargetPreset();
  size_t bytes = 0;
  for (auto _ : state) {
    bytes = EncodePreset(preset).size();
  }
  // Must stay under the service's limit of 1 MB per value, with the record around it.
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_EncodePreset)->Unit(benchmark::kMillisecond);

void BM_ApplyPreset(benchmark::State& state) {
  const std::string document = EncodePreset(TargetPreset());
  for (auto _ : state) {
    PresetTracker tracker;
    if (tracker.OfferDocument(1, document) != PresetTracker::OfferResult::kApplied) {
      state.SkipWithError("the preset was not applied");
    }
  }
}
BENCHMARK(BM_ApplyPreset)->Unit(benchmark::kMillisecond);

void BM_DecodePresetRecord(benchmark::State& state) {
  PresetRecord record;
  record.revision = 1;
  record.document = EncodePreset(TargetPreset());
  const std::string text = EncodePresetRecord(record);
  for (auto _ : state) {
    benchmark::DoNotOptimize(DecodePresetRecord(text));
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(BM_DecodePresetRecord)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
