// ControlLoop: what the platform and peers say reaches snapshots, and an outage or a pause never
// brings an older preset back.

#include "azuregw/control/control_loop.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/preset/preset_store.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/preset_documents.h"
#include "tests/fakes/wait_until.h"

namespace azuregw {
namespace {

class MemoryList final : public InstanceList {
 public:
  Result<std::vector<ListedInstance>> Fetch() override {
    ++m_fetches;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_down) {
      return NotRun(ResultCode::kListUnavailable, "down");
    }
    return m_entries;
  }
  void Set(std::vector<ListedInstance> entries) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entries = std::move(entries);
  }
  void SetDown(bool down) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_down = down;
  }
  int Fetches() const { return m_fetches; }

 private:
  std::mutex m_mutex;
  std::vector<ListedInstance> m_entries;
  bool m_down = false;
  std::atomic<int> m_fetches{0};
};

// The system's clock plus a jump, as after SIGSTOP and SIGCONT.
class JumpingClock final : public Clock {
 public:
  TimePoint Now() const override { return SystemClock().Now() + m_jump.load(); }
  int64_t WallMs() const override { return SystemClock().WallMs(); }
  void Jump(Milliseconds time) { m_jump = time; }

 private:
  std::atomic<Milliseconds> m_jump{Milliseconds(0)};
};

struct Fixture {
  Fixture() {
    ControlOptions options;
    options.self = "gw-1";
    options.failure_domain = "fd-a";
    options.tick = Milliseconds(10);
    // A busy machine delays ticks; only the jump of the clock must look like a pause.
    options.pause_limit = Milliseconds(20000);
    options.list_interval = Milliseconds(20);
    options.watch_wait = Milliseconds(50);
    ControlDependencies dependencies;
    dependencies.clock = &clock;
    dependencies.kv = &kv;
    dependencies.list = &list;
    loop = MakeControlLoop(options, dependencies);
  }
  ~Fixture() { loop->Stop(); }

  void PutInForce(const std::string& name) {
    PresetStore store(&kv, MakeUniqueId, [](Milliseconds) {});
    if (!store.Show(name)) {
      BOOST_REQUIRE(store.Create(name, TestPresetDocument(name).dump()));
    }
    BOOST_REQUIRE(store.Use(name, "test", {}));
  }
  bool WaitForRevision(uint64_t revision) {
    return WaitUntil([&] { return loop->Current()->preset_revision == revision; });
  }
  bool WaitForReady(bool ready) {
    return WaitUntil([&] { return loop->CurrentReadiness().ready == ready; });
  }

  JumpingClock clock;
  MemoryKeyValueStore kv;
  MemoryList list;
  std::unique_ptr<ControlLoop> loop;
};

BOOST_FIXTURE_TEST_SUITE(control_loop, Fixture)

BOOST_AUTO_TEST_CASE(changes_in_the_service_reach_the_snapshot) {
  PutInForce("ordinary");
  loop->Start();
  BOOST_TEST(WaitForRevision(1));
  BOOST_TEST(WaitForReady(true));
  PutInForce("peak");
  BOOST_TEST(WaitForRevision(2));
  BOOST_TEST(loop->Current()->preset->name == "peak");
  BOOST_TEST(loop->CurrentPreset().revision == 2u);
}

// Guards against an instance that serves without knowing what is in force, and against one that
// stays out of service although its peers know.
BOOST_AUTO_TEST_CASE(start_during_an_outage_learns_from_peers) {
  PutInForce("ordinary");
  kv.SetDown(true);
  list.SetDown(true);
  loop->Start();
  BOOST_TEST(WaitUntil([&] { return kv.Calls("watch") > 0 && list.Fetches() > 0; }));
  BOOST_TEST(!loop->CurrentReadiness().ready);
  BOOST_TEST((loop->CurrentReadiness().code == ResultCode::kNoPreset));
  loop->OnPresetFromPeer(7, TestPresetDocument("peak").dump());
  BOOST_TEST(WaitForReady(true));
  // The service comes back with an older revision, as a lagging reader or a restored copy does.
  kv.SetDown(false);
  const int watches = kv.Calls("watch");
  BOOST_TEST(WaitUntil([&] { return kv.Calls("watch") > watches + 2; }));
  loop->OnPresetFromPeer(6, TestPresetDocument("other").dump());
  std::atomic<bool> passed{false};
  loop->Post([&] { passed = true; });
  BOOST_TEST(WaitUntil([&] { return passed.load(); }));
  BOOST_TEST(loop->Current()->preset_revision == 7u);
  BOOST_TEST(loop->Current()->preset->name == "peak");
}

BOOST_AUTO_TEST_CASE(outage_keeps_the_instance_ready) {
  PutInForce("ordinary");
  loop->Start();
  BOOST_TEST(WaitForReady(true));
  kv.SetDown(true);
  const int watches = kv.Calls("watch");
  BOOST_TEST(WaitUntil([&] { return kv.Calls("watch") > watches + 1; }));
  BOOST_TEST(loop->CurrentReadiness().ready);
  kv.SetDown(false);
  PutInForce("peak");
  BOOST_TEST(WaitForRevision(2));
}

// Guards against acting after a pause on what was known before it.
BOOST_AUTO_TEST_CASE(pause_refreshes_before_ready) {
  PutInForce("ordinary");
  std::atomic<int> pauses{0};
  loop->AddPauseListener([&] { ++pauses; });
  loop->Start();
  BOOST_TEST(WaitForReady(true));
  std::atomic<bool> block_reads{true};
  std::atomic<bool> read_begun{false};
  kv.SetHook([&](std::string_view op, std::string_view) {
    if (op == "get") {
      read_begun = true;
      WaitUntil([&] { return !block_reads.load(); });
    }
  });
  clock.Jump(Milliseconds(60000));
  BOOST_TEST(WaitUntil([&] { return read_begun.load(); }));
  BOOST_TEST(WaitForReady(false));
  BOOST_TEST(loop->IsStale(clock.Now()));
  BOOST_TEST(pauses == 1);
  block_reads = false;
  BOOST_TEST(WaitForReady(true));
  BOOST_TEST(WaitUntil([&] { return !loop->IsStale(clock.Now()); }));
}

BOOST_AUTO_TEST_CASE(list_and_notices_mark_leaving_upstreams) {
  PutInForce("ordinary");
  ListedInstance engine;
  engine.name = "design-a1";
  engine.role = ListedRole::kEngine;
  engine.leaving = true;
  ListedInstance other;
  other.name = "gw-2";
  other.failure_domain = "fd-b";
  list.Set({engine, other});
  loop->Start();
  BOOST_TEST(WaitUntil([&] { return loop->Current()->leaving_upstreams.count("design-a1") == 1; }));
  BOOST_TEST(WaitUntil([&] { return loop->Current()->members.size() == 2; }));
  loop->OnUpstreamLeaving("design-b1");
  BOOST_TEST(WaitUntil([&] { return loop->Current()->leaving_upstreams.size() == 2; }));
}

class NoWatcherGroup final : public PeerGroup {
 public:
  void Tick(TimePoint) override {}
  void OnList(gsl::span<const ListedInstance>, TimePoint) override {}
  void MarkUpstreamLeaving(const std::string&, TimePoint) override {}
  void ReturnUpstream(const std::string&, TimePoint) override {}
  void OnUpstreamReport(const std::string&, bool, int64_t, TimePoint) override {}
  void AnnounceLeaving(TimePoint) override {}
  void PublishPreset(const ActivePreset&, TimePoint) override {}
  std::vector<MemberView> Members() const override { return {}; }
  std::set<std::string> LeavingUpstreams() const override { return {}; }
  bool IsWatcher() const override { return false; }
  bool IsRefreshing() const override { return false; }
  uint64_t Version() const override { return 1; }
};

// Guards against a load on the key-value service and the list that grows with the fleet: an
// instance that is no watcher reads the preset until it knows one and the list once.
BOOST_AUTO_TEST_CASE(only_watchers_call_the_platform_all_the_time) {
  NoWatcherGroup group;
  loop->SetPeers(&group);
  loop->Start();
  BOOST_TEST(WaitUntil([&] { return kv.Calls("get") >= 2; }));
  PutInForce("ordinary");
  BOOST_TEST(WaitForRevision(1));
  const int reads = kv.Calls("get");
  // 20 list intervals of a watcher.
  std::this_thread::sleep_for(Milliseconds(400));
  BOOST_TEST(kv.Calls("get") <= reads + 1);
  BOOST_TEST(kv.Calls("watch") == 0);
  BOOST_TEST(list.Fetches() == 1);
}

// Guards against a process that dies, or a control thread that stays dead, after one fault.
BOOST_AUTO_TEST_CASE(failed_control_thread_is_started_again) {
  PutInForce("ordinary");
  const auto root = MakeSupervisor("root", SystemClock());
  for (Component* component : loop->Components()) {
    root->Add(component, RestartOptions());
  }
  BOOST_REQUIRE(root->Start(nullptr));
  BOOST_TEST(WaitForRevision(1));
  loop->Post([] { throw std::runtime_error("fault"); });
  PutInForce("peak");
  BOOST_TEST(WaitForRevision(2));
  root->Stop();
}

BOOST_AUTO_TEST_CASE(drain_ends_readiness) {
  PutInForce("ordinary");
  loop->Start();
  BOOST_TEST(WaitForReady(true));
  loop->BeginDrain();
  BOOST_TEST(WaitForReady(false));
  BOOST_TEST((loop->CurrentReadiness().code == ResultCode::kDraining));
  BOOST_TEST(WaitUntil([&] { return loop->Current()->draining; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
