// Cost of membership per instance and time of dissemination, with in-memory delivery.
//
// Bounds from docs/design.md 1.8 and the invariants: control takes at most 2 KB/s and 1.7 % of a
// core per instance, and a leaving mark is known everywhere within 2 s.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "tests/fakes/member_network.h"

namespace azuregw {
namespace {

constexpr double kMaxBytesPerSecond = 2000;
constexpr double kMaxCoreShare = 0.017;
constexpr double kMaxSpreadMs = 2000;
constexpr Milliseconds kSecond{1000};
// Ethernet, IP and TCP headers of one message and of its acknowledgement.
constexpr double kHeaderBytes = 2 * 66;

// Runs until the announcements of the common start have been sent; a heartbeat without updates has
// less than 100 bytes.
void Settle(MemberNetwork* network) {
  for (int i = 0; i < 60; ++i) {
    const uint64_t messages = network->Messages();
    const uint64_t bytes = network->Bytes();
    network->Run(5 * kSecond);
    if (network->Bytes() - bytes < 100 * (network->Messages() - messages)) {
      return;
    }
  }
}

// One minute of a healthy fleet, with every message encoded, verified and decoded.
void BM_SteadyCost(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  constexpr int kSeconds = 60;
  double bytes = 0;
  double messages = 0;
  double core_share = 0;
  for (auto _ : state) {
    MemberNetwork network(1);
    network.Add(count, 5);
    for (int i = 0; i < count; ++i) {
      network.At(i).SetPresetRevision(1000);
    }
    network.DeliverList();
    Settle(&network);
    const uint64_t bytes_before = network.Bytes();
    const uint64_t messages_before = network.Messages();
    const auto start = std::chrono::steady_clock::now();
    network.Run(kSeconds * kSecond);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    bytes = static_cast<double>(network.Bytes() - bytes_before) / count / kSeconds;
    messages = static_cast<double>(network.Messages() - messages_before) / count / kSeconds;
    core_share = took.count() / count / kSeconds;
    state.counters["watchers"] = network.CountIf([](Membership& m) { return m.IsWatcher(); });
  }
  state.counters["sent_B_per_s"] = bytes;
  state.counters["sent_and_received_B_per_s"] = 2 * bytes;
  state.counters["with_headers_B_per_s"] = 2 * (bytes + messages * kHeaderBytes);
  state.counters["messages_per_s"] = messages;
  state.counters["core_percent"] = core_share * 100;
  if (2 * bytes > kMaxBytesPerSecond || core_share > kMaxCoreShare) {
    state.SkipWithError("membership is above the target for control");
  }
}
BENCHMARK(BM_SteadyCost)->Arg(9)->Arg(100)->Arg(600)->Iterations(1)->Unit(benchmark::kSecond);

// A leaving mark spreads from one instance to all, with 5 % of the messages lost. Argument 2 is the
// number of forwarding rounds; 0 leaves the mark to heartbeats alone.
void BM_Dissemination(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  const size_t rounds = static_cast<size_t>(state.range(1));
  constexpr int kMarks = 10;
  double worst = 0;
  double sum = 0;
  double bytes = 0;
  for (auto _ : state) {
    MemberNetwork network(2);
    network.Add(count, 5, [rounds](MembershipOptions* o) { o->forward_rounds = rounds; });
    network.DeliverList();
    Settle(&network);
    network.SetLoss(0.05);
    const uint64_t before = network.Bytes();
    for (int i = 0; i < kMarks; ++i) {
      const std::string name = "design-" + std::to_string(i);
      const int origin = (i * 37) % count;
      network.Send(origin, network.At(origin).MarkUpstreamLeaving(name, network.At()));
      const auto holds = [&name](Membership& m) { return m.LeavingUpstreams().count(name) > 0; };
      const Milliseconds took =
          network.RunUntil(60 * kSecond, [&] { return network.CountIf(holds) == count; });
      worst = std::max(worst, static_cast<double>(took.count()));
      sum += static_cast<double>(took.count());
      network.Run(5 * kSecond);
    }
    bytes = static_cast<double>(network.Bytes() - before) / count;
  }
  state.counters["worst_ms"] = worst;
  state.counters["mean_ms"] = sum / kMarks;
  state.counters["B_per_instance"] = bytes;
  if (rounds > 0 && worst > kMaxSpreadMs) {
    state.SkipWithError("a leaving mark took more than 2 s");
  }
}
BENCHMARK(BM_Dissemination)
    ->Args({9, 3})
    ->Args({600, 3})
    ->Args({600, 0})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

// A failure domain of a fifth of the fleet falls silent; the time until no instance holds any of
// its members live, and the bytes meanwhile.
void BM_FailureDomainLoss(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  double took_ms = 0;
  double rate = 0;
  for (auto _ : state) {
    MemberNetwork network(3);
    network.Add(count, 5);
    network.DeliverList();
    Settle(&network);
    for (int i = 0; i < count; i += 5) {
      network.Stop(i);
    }
    const int left = network.CountIf([](Membership&) { return true; });
    const uint64_t before = network.Bytes();
    const auto settled = [&] {
      return network.CountIf([left](Membership& m) {
        return static_cast<int>(m.LiveMembers().size()) == left;
      }) == left;
    };
    took_ms = static_cast<double>(network.RunUntil(120 * kSecond, settled).count());
    rate = static_cast<double>(network.Bytes() - before) / left / (took_ms / 1000);
  }
  state.counters["took_ms"] = took_ms;
  state.counters["sent_B_per_s"] = rate;
}
BENCHMARK(BM_FailureDomainLoss)->Arg(100)->Arg(600)->Iterations(1)->Unit(benchmark::kSecond);

}  // namespace
}  // namespace azuregw

BENCHMARK_MAIN();
