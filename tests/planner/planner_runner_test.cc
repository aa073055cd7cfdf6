// Tests of PlannerRunner with pauses, lost replies, and engines with and without fencing.

#include "azuregw/planner/planner_runner.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "tests/fakes/memory_engines.h"
#include "tests/fakes/memory_key_value_store.h"

namespace azuregw {
namespace {

constexpr Milliseconds kSecond{1000};
constexpr char kAddress[] = "127.0.0.1:9001";
using Fault = MemoryKeyValueStore::Fault;

class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return m_now; }
  int64_t WallMs() const override { return 1700000000000; }
  void Advance(Milliseconds by) { m_now += by; }

 private:
  TimePoint m_now{Milliseconds(1000000)};
};

class FixedSnapshot final : public SnapshotSource {
 public:
  void Set(Preset preset) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->preset = std::make_shared<const Preset>(std::move(preset));
    m_snapshot = std::move(snapshot);
  }
  std::shared_ptr<const Snapshot> Current() const override { return m_snapshot; }

 private:
  std::shared_ptr<const Snapshot> m_snapshot;
};

// Returns a preset with one engine.
Preset OneEngine(const std::string& version, bool checks_fencing) {
  Preset preset;
  EngineSpec spec;
  spec.name = "design-a1";
  spec.address = kAddress;
  spec.version = version;
  spec.checks_fencing = checks_fencing;
  preset.engines["design-a1"] = spec;
  preset.weight_loads_per_minute = 60;
  return preset;
}

// Key-value service and engines, shared by two instances "a" and "b".
struct Fixture {
  explicit Fixture(bool checks_fencing) {
    engines[kAddress].checks_fencing = checks_fencing;
    snapshot_a.Set(OneEngine("1", checks_fencing));
    snapshot_b.Set(OneEngine("1", checks_fencing));
  }

  std::unique_ptr<PlannerRunner> Runner(const std::string& name, MemoryEngineClient* client,
                                        const SnapshotSource* snapshots, bool safeguards) {
    PlannerRunnerOptions options;
    options.instance = name;
    options.planner.reconcile = safeguards;
    options.confirm_lease = safeguards;
    return MakePlannerRunner(options, {&kv, client, snapshots, &clock, nullptr});
  }

  // Runs two steps per second of simulated time.
  void Run(PlannerRunner* runner, int seconds) {
    for (int i = 0; i < 2 * seconds; ++i) {
      runner->Step();
      clock.Advance(kSecond / 2);
    }
  }

  // Expires the lease of the holder at the key-value service.
  void ExpireLeases() {
    for (int i = 1; i < 10; ++i) {
      kv.ExpireLease("lease-" + std::to_string(i));
    }
  }

  const EngineState& State() { return engines[kAddress].state; }

  MemoryKeyValueStore kv;
  ManualClock clock;
  MemoryEngines engines;
  MemoryEngineClient client_a{&engines};
  MemoryEngineClient client_b{&engines};
  FixedSnapshot snapshot_a;
  FixedSnapshot snapshot_b;
};

BOOST_AUTO_TEST_SUITE(planner_runner)

BOOST_AUTO_TEST_CASE(engines_follow_the_preset) {
  for (const bool checks : {true, false}) {
    Fixture world(checks);
    Preset preset = OneEngine("2", checks);
    preset.engines["design-a1"].model = "design";
    preset.engines["design-a1"].adapters = {"spring", "summer"};
    preset.engines["design-a1"].role = "decode";
    world.snapshot_a.Set(preset);
    const auto runner = world.Runner("a", &world.client_a, &world.snapshot_a, true);
    world.Run(runner.get(), 20);
    BOOST_TEST(world.State().model == "design");
    BOOST_TEST(world.State().version == "2");
    BOOST_TEST(world.State().adapters.size() == 2u);
    BOOST_TEST(world.State().role == "decode");
    BOOST_TEST(world.engines[kAddress].orders == 5);
  }
}

// Pauses a holder between its last lease check and the send of an order, which then arrives after
// another holder has taken over and applied a newer preset. Returns the final version of the
// engine.
std::string RunPausedHolder(bool checks_fencing, bool safeguards) {
  Fixture world(checks_fencing);
  const auto old_holder = world.Runner("a", &world.client_a, &world.snapshot_a, safeguards);
  world.client_a.hold_orders = true;
  world.Run(old_holder.get(), 5);
  BOOST_REQUIRE(world.client_a.Held() == 1u);
  world.ExpireLeases();
  world.snapshot_b.Set(OneEngine("2", checks_fencing));
  const auto new_holder = world.Runner("b", &world.client_b, &world.snapshot_b, safeguards);
  world.Run(new_holder.get(), 10);
  BOOST_TEST(world.State().version == "2");
  world.client_a.ReleaseOrders();
  world.client_a.hold_orders = false;
  world.Run(old_holder.get(), 5);
  BOOST_TEST(!old_holder->HoldsLease());
  world.Run(new_holder.get(), 20);
  return world.State().version;
}

// Guards against a lasting effect of a late order of an old holder. An engine that checks fencing
// tokens refuses it. An engine that does not is corrected by reconciliation, and stays wrong
// without it.
BOOST_AUTO_TEST_CASE(paused_holder_has_no_lasting_effect) {
  BOOST_TEST(RunPausedHolder(true, true) == "2");
  BOOST_TEST(RunPausedHolder(false, true) == "2");
  BOOST_TEST(RunPausedHolder(true, false) == "2");
  BOOST_TEST(RunPausedHolder(false, false) == "1");
}

// Resumes a holder whose lease has lapsed without its knowledge. Returns the number of orders that
// it sent.
int RunResumedHolder(bool safeguards) {
  Fixture world(false);
  const auto old_holder = world.Runner("a", &world.client_a, &world.snapshot_a, safeguards);
  world.Run(old_holder.get(), 10);
  world.ExpireLeases();
  const auto new_holder = world.Runner("b", &world.client_b, &world.snapshot_b, safeguards);
  for (int i = 0; i < 4; ++i) {
    new_holder->Step();
  }
  world.client_a.hold_orders = true;
  world.snapshot_a.Set(OneEngine("7", false));
  // Less than a third of the TTL has elapsed on the old holder's clock, so no renewal is due.
  for (int i = 0; i < 4; ++i) {
    old_holder->Step();
  }
  return static_cast<int>(world.client_a.Held());
}

// Guards against orders of a holder whose lease has lapsed without its knowledge. Without the
// confirmation by the key-value service, it sends one.
BOOST_AUTO_TEST_CASE(lapsed_holder_sends_nothing) {
  BOOST_TEST(RunResumedHolder(true) == 0);
  BOOST_TEST(RunResumedHolder(false) == 1);
}

// Guards against resending an order that took effect but whose reply was lost, and against two
// outstanding orders at one engine.
BOOST_AUTO_TEST_CASE(lost_reply_is_resolved_by_reading_back) {
  for (const bool checks : {true, false}) {
    Fixture world(checks);
    world.client_a.lose_replies = 1;
    const auto runner = world.Runner("a", &world.client_a, &world.snapshot_a, true);
    world.Run(runner.get(), 30);
    BOOST_TEST(world.State().version == "1");
    BOOST_TEST(world.engines[kAddress].orders == 1);
  }
}

// Guards against abandoning or duplicating an order when replies of the key-value service are lost.
BOOST_AUTO_TEST_CASE(lost_replies_of_the_service) {
  Fixture world(false);
  world.kv.InjectWrite(Fault::kNone);       // Lease.
  world.kv.InjectWrite(Fault::kLostReply);  // Planner key.
  world.kv.InjectWrite(Fault::kLostReply);  // Intent.
  const auto runner = world.Runner("a", &world.client_a, &world.snapshot_a, true);
  world.Run(runner.get(), 20);
  BOOST_TEST(world.State().version == "1");
  BOOST_TEST(world.engines[kAddress].orders == 1);
}

// Guards against overloading the weight store with loads.
BOOST_AUTO_TEST_CASE(loads_are_rate_limited) {
  Fixture world(true);
  Preset preset = OneEngine("1", true);
  preset.weight_loads_per_minute = 6;
  for (int i = 0; i < 10; ++i) {
    EngineSpec spec = preset.engines["design-a1"];
    spec.name = "design-b" + std::to_string(i);
    spec.address = "127.0.0.1:" + std::to_string(9100 + i);
    world.engines[spec.address].checks_fencing = true;
    preset.engines[spec.name] = spec;
  }
  world.snapshot_a.Set(preset);
  const auto runner = world.Runner("a", &world.client_a, &world.snapshot_a, true);
  world.Run(runner.get(), 60);
  int orders = 0;
  for (const auto& [address, engine] : world.engines) {
    orders += engine.orders;
  }
  BOOST_TEST(orders >= 5);
  BOOST_TEST(orders <= 6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
