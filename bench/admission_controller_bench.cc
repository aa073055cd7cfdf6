// Time and allocations per admission, by engines and by waiting workspaces.

#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/admission/admission_controller.h"
#include "bench/allocation_counter.h"
#include "bench/fleet_preset.h"

namespace azuregw {
namespace {

class FixedClock final : public Clock {
 public:
  TimePoint Now() const override { return now; }
  int64_t WallMs() const override { return 0; }
  TimePoint now{std::chrono::hours(1)};
};

AdmissionRequest MakeRequest(const Clock& clock, int workspace) {
  AdmissionRequest request;
  request.workspace = "workspace-" + std::to_string(workspace);
  request.target = "model/model-0";
  request.deadline = clock.Now() + std::chrono::hours(1);
  return request;
}

// Admits and releases at once, with a free place.
void BM_Admit(benchmark::State& state) {
  FixedClock clock;
  const auto snapshot =
      MakeFleetSnapshot(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  const auto controller = MakeAdmissionController(clock);
  const AdmissionRequest request = MakeRequest(clock, 0);
  const auto admit = [&] {
    controller->Admit(snapshot, request, clock.now,
                      [](auto result) { benchmark::DoNotOptimize(result); });
  };
  admit();
  const int64_t before = Allocations();
  for (auto _ : state) {
    admit();
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(Allocations() - before),
                                                     benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_Admit)
    ->ArgNames({"engines", "models"})
    ->Args({30, 1})
    ->Args({300, 4})
    ->Args({3600, 36});

// All places are taken and requests of many workspaces wait; each iteration queues one request and
// releases one place.
void BM_AdmitUnderLoad(benchmark::State& state) {
  FixedClock clock;
  const auto snapshot = MakeFleetSnapshot(3600, 36);
  std::deque<std::shared_ptr<AdmissionTicket>> tickets;
  const auto controller = MakeAdmissionController(clock);
  const int workspaces = static_cast<int>(state.range(0));
  std::vector<AdmissionRequest> requests;
  for (int i = 0; i < workspaces; ++i) {
    requests.push_back(MakeRequest(clock, i));
  }
  const auto admit = [&](int i) {
    controller->Admit(snapshot, requests[static_cast<size_t>(i % workspaces)], clock.now,
                      [&](auto result) {
                        if (result.has_value()) {  // The controller refuses when it is destroyed.
                          tickets.push_back(std::move(result.value()));
                        }
                      });
  };
  for (int i = 0; i < 2 * workspaces + 10; ++i) {
    admit(i);
  }
  const int64_t before = Allocations();
  int i = 0;
  for (auto _ : state) {
    admit(i++);
    // Destroying the ticket starts a waiting request, which appends to `tickets`.
    auto first = std::move(tickets.front());
    tickets.pop_front();
    first.reset();
  }
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(Allocations() - before),
                                                     benchmark::Counter::kAvgIterations);
}
BENCHMARK(BM_AdmitUnderLoad)->ArgName("workspaces")->Arg(10)->Arg(300);

// The first request after a new topology revision computes the capacities.
void BM_NewTopology(benchmark::State& state) {
  FixedClock clock;
  const auto controller = MakeAdmissionController(clock);
  const auto first =
      MakeFleetSnapshot(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  const AdmissionRequest request = MakeRequest(clock, 0);
  uint64_t revision = 1;
  for (auto _ : state) {
    auto snapshot = std::make_shared<Snapshot>(*first);
    snapshot->topology_revision = ++revision;
    controller->Admit(std::move(snapshot), request, clock.now, [](auto result) {});
  }
}
BENCHMARK(BM_NewTopology)
    ->ArgNames({"engines", "models"})
    ->Args({30, 1})
    ->Args({3600, 36})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
