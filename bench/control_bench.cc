// Cost of control decisions at the target size: 600 instances, 3,600 engines.

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "azuregw/control/peer_group.h"
#include "control/control_state.h"

namespace azuregw {
namespace {

constexpr int kInstances = 600;

std::vector<ListedInstance> TargetList() {
  std::vector<ListedInstance> list;
  for (int i = 0; i < kInstances; ++i) {
    ListedInstance entry;
    entry.name = "gw-" + std::to_string(i);
    entry.address = "10.0.0.1:" + std::to_string(10000 + i);
    entry.admin_address = "10.0.0.1:" + std::to_string(20000 + i);
    entry.failure_domain = "fd-" + std::to_string(i % 5);
    list.push_back(entry);
  }
  return list;
}

void BM_NextSnapshot(benchmark::State& state) {
  const auto peers = MakeListPeerGroup(MemberView());
  peers->OnList(TargetList(), TimePoint());
  const ControlState control({"gw-0", "fd-0"});
  const auto first = control.NextSnapshot(nullptr, *peers);
  for (auto _ : state) {
    benchmark::DoNotOptimize(control.NextSnapshot(first.get(), *peers));
  }
}
BENCHMARK(BM_NextSnapshot)->Unit(benchmark::kMicrosecond);

void BM_Tick(benchmark::State& state) {
  ControlState control({"gw-0", "fd-0"});
  TimePoint now{std::chrono::hours(1)};
  for (auto _ : state) {
    now += Milliseconds(100);
    benchmark::DoNotOptimize(control.OnTick(now));
    benchmark::DoNotOptimize(control.CurrentReadiness(false));
  }
}
BENCHMARK(BM_Tick);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
