// Bounds from the target size (docs/design.md 1.8): counts, and ratios within one run. Each check
// prints its figure and its bound.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "azuregw/routing/chain_selector.h"
#include "bench/claim_simulation.h"
#include "bench/fleet_preset.h"
#include "bench/load/usage.h"
#include "tests/fakes/member_network.h"
#include "tests/support/cluster.h"

namespace azuregw {
namespace {

// Prints the figure and requires that it is at most `bound`.
void CheckAtMost(const std::string& name, double figure, double bound) {
  std::cout << "bench_check: " << name << ": " << figure << " (bound " << bound << ")" << std::endl;
  BOOST_TEST(figure <= bound, name << " is " << figure << ", above " << bound);
}

BOOST_AUTO_TEST_SUITE(capacity)

// Guards against heartbeats whose size or number grows with the fleet beyond 2 KB/s per node.
BOOST_AUTO_TEST_CASE(heartbeat_bytes_at_600_members) {
  constexpr int kMembers = 600;
  constexpr int kSeconds = 5;
  constexpr double kHeaderBytes = 2 * 66;  // Ethernet, IP and TCP of a message and its ACK.
  MemberNetwork network(1);
  network.Add(kMembers, 5);
  network.Settle();
  const uint64_t bytes_before = network.Bytes();
  const uint64_t messages_before = network.Messages();
  network.Run(Milliseconds(1000 * kSeconds));
  const auto bytes = static_cast<double>(network.Bytes() - bytes_before);
  const auto messages = static_cast<double>(network.Messages() - messages_before);
  BOOST_TEST(messages > 0);
  CheckAtMost("heartbeat bytes/s per instance, sent and received, with headers",
              2 * (bytes + messages * kHeaderBytes) / kMembers / kSeconds, 2000);
}

// Guards against more than one swap for the claim and one for the outcome of an order.
BOOST_AUTO_TEST_CASE(swaps_per_order_through_owners) {
  Scenario scenario;
  scenario.shards = 16;
  scenario.orders_per_s = 100;
  const Totals totals = ClaimSimulation(scenario).Run();
  BOOST_TEST(totals.granted == totals.orders);
  CheckAtMost("swaps per order by way of the owner",
              static_cast<double>(totals.counters.swaps) / static_cast<double>(totals.granted),
              1.999);
}

class SelectionTimer {
 public:
  SelectionTimer(int engines, int models)
      : m_snapshot(MakeFleetSnapshot(engines, models)),
        m_selector(MakeChainSelector(MakeRandom(1))) {
    m_selector->Prepare(*m_snapshot, m_now);
    m_request.model = "model-0";
  }

  // Mean over a batch, in ns.
  double Run() {
    constexpr int kSelections = 1000;
    int chosen = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kSelections; ++i) {
      m_now += Microseconds(100);
      chosen += m_selector->Select(*m_snapshot, m_request, m_now) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    BOOST_TEST(chosen == kSelections);
    return took.count() / kSelections;
  }

 private:
  const std::shared_ptr<const Snapshot> m_snapshot;
  const std::unique_ptr<ChainSelector> m_selector;
  ChainRequest m_request;
  TimePoint m_now{std::chrono::hours(1)};
};

// Guards against a request path that scans all engines (a factor of 120). The subset has at most 64
// engines of a model (16 for each of 4 ranges) against 30, a factor of 2.13; twice that allows for
// processor caches.
BOOST_AUTO_TEST_CASE(growth_of_chain_selection) {
  constexpr int kRounds = 20;
  constexpr double kBound = 2 * 64.0 / 30;
  SelectionTimer small(30, 1);
  SelectionTimer one_model(3600, 1);
  SelectionTimer all_models(3600, 36);
  // The least of several rounds in turn leaves out interruptions by other programs.
  double small_ns = small.Run();
  double one_model_ns = one_model.Run();
  double all_models_ns = all_models.Run();
  for (int i = 0; i < kRounds; ++i) {
    small_ns = std::min(small_ns, small.Run());
    one_model_ns = std::min(one_model_ns, one_model.Run());
    all_models_ns = std::min(all_models_ns, all_models.Run());
  }
  CheckAtMost("growth of a chain selection, 3,600 engines of 1 model to 30",
              one_model_ns / small_ns, kBound);
  CheckAtMost("growth of a chain selection, 3,600 engines of 36 models to 30",
              all_models_ns / small_ns, kBound);
}

std::unique_ptr<testing::Cluster> MakeIdleCluster(int instances) {
  testing::ClusterOptions options;
  options.instances = instances;
  auto cluster = testing::Cluster::Make(options);
  BOOST_REQUIRE(cluster);
  return cluster;
}

// Guards against calls on the key-value service by each instance. Six
// further instances with one call per 5 s would add 12 calls in 10 s.
BOOST_AUTO_TEST_CASE(key_value_calls_do_not_depend_on_instances) {
  constexpr int kSeconds = 10;
  const auto small = MakeIdleCluster(3);
  const auto large = MakeIdleCluster(9);
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const load::Usage small_before = load::ReadUsage(small.get());
  const load::Usage large_before = load::ReadUsage(large.get());
  std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
  const load::Usage small_after = load::ReadUsage(small.get());
  const load::Usage large_after = load::ReadUsage(large.get());
  BOOST_TEST(large_after.instances == 9);
  const double small_calls = small_after.kv_calls - small_before.kv_calls;
  const double large_calls = large_after.kv_calls - large_before.kv_calls;
  BOOST_TEST(small_calls > 0);
  // Calls at the edges of the interval: one for each of 3 watchers and the planner.
  constexpr double kEdgeCalls = 4;
  CheckAtMost("calls on the key-value service in 10 s by 9 instances, beyond those by 3",
              large_calls - small_calls, kEdgeCalls);
}

// Guards against more than 32 MB of control state per node.
BOOST_AUTO_TEST_CASE(idle_resident_memory) {
  constexpr int kTargetEngines = 3600;
  const auto cluster = MakeIdleCluster(1);
  nlohmann::json preset = cluster->preset();
  load::AddListedEngines(kTargetEngines - static_cast<int>(cluster->engines().size()), &preset);
  const double revision = load::ReadUsage(cluster.get()).max_preset_revision;
  BOOST_REQUIRE(cluster->UsePreset(preset));
  BOOST_REQUIRE(testing::WaitUntil(
      [&] { return load::ReadUsage(cluster.get()).max_preset_revision > revision; }));
  // Lets what the change allocated for a short time be released.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const load::Usage usage = load::ReadUsage(cluster.get());
  BOOST_TEST(usage.instances == 1);
  CheckAtMost("idle resident MB of an instance with 3,600 engines", usage.max_resident_bytes / 1e6,
              32);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
