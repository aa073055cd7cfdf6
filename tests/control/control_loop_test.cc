// Tests of ControlLoop: updates from the platform and from peers reach the snapshot, and neither an
// outage nor a pause reactivates an older preset.

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

// In-memory instance list with injectable outages.
class FakeInstanceList final : public InstanceList {
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

// System clock plus an offset, to simulate a pause such as SIGSTOP and SIGCONT.
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
    // Long enough that tick delays on a busy machine do not count as a pause.
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

  // Creates the preset if it is missing and activates it.
  void ActivatePreset(const std::string& name) {
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
  FakeInstanceList list;
  std::unique_ptr<ControlLoop> loop;
};

BOOST_FIXTURE_TEST_SUITE(control_loop, Fixture)

// Guards against preset changes in the key-value service that do not reach the snapshot.
BOOST_AUTO_TEST_CASE(changes_in_the_service_reach_the_snapshot) {
  ActivatePreset("ordinary");
  loop->Start();
  BOOST_TEST(WaitForRevision(1));
  BOOST_TEST(WaitForReady(true));
  ActivatePreset("peak");
  BOOST_TEST(WaitForRevision(2));
  BOOST_TEST(loop->Current()->preset->name == "peak");
  BOOST_TEST(loop->CurrentPreset().revision == 2u);
}

// Guards against an instance that becomes ready without a preset after a start during an outage,
// and against one that ignores the preset of its peers.
BOOST_AUTO_TEST_CASE(start_during_an_outage_learns_from_peers) {
  ActivatePreset("ordinary");
  kv.SetDown(true);
  list.SetDown(true);
  loop->Start();
  BOOST_TEST(WaitUntil([&] { return kv.Calls("watch") > 0 && list.Fetches() > 0; }));
  BOOST_TEST(!loop->CurrentReadiness().ready);
  BOOST_TEST((loop->CurrentReadiness().code == ResultCode::kNoPreset));
  loop->OnPresetFromPeer(7, TestPresetDocument("peak").dump());
  BOOST_TEST(WaitForReady(true));
  // The service returns with an older revision, like a lagging replica or a restored backup.
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

// Guards against an instance that becomes not ready during an outage of the key-value service.
BOOST_AUTO_TEST_CASE(outage_keeps_the_instance_ready) {
  ActivatePreset("ordinary");
  loop->Start();
  BOOST_TEST(WaitForReady(true));
  kv.SetDown(true);
  const int watches = kv.Calls("watch");
  BOOST_TEST(WaitUntil([&] { return kv.Calls("watch") > watches + 1; }));
  BOOST_TEST(loop->CurrentReadiness().ready);
  kv.SetDown(false);
  ActivatePreset("peak");
  BOOST_TEST(WaitForRevision(2));
}

// Guards against readiness with stale state after a pause of the process.
BOOST_AUTO_TEST_CASE(pause_refreshes_before_ready) {
  ActivatePreset("ordinary");
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

// Guards against leaving upstreams from the list or from traffic that the snapshot lacks.
BOOST_AUTO_TEST_CASE(list_and_traffic_mark_leaving_upstreams) {
  ActivatePreset("ordinary");
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

// Peer group of an instance that is not a watcher.
class NonWatcherPeerGroup final : public PeerGroup {
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

// Guards against platform load that grows with the fleet: an instance that is not a watcher reads
// the list once, and the preset only until it knows one.
BOOST_AUTO_TEST_CASE(only_watchers_poll_the_platform) {
  NonWatcherPeerGroup group;
  loop->SetPeers(&group);
  loop->Start();
  BOOST_TEST(WaitUntil([&] { return kv.Calls("get") >= 2; }));
  ActivatePreset("ordinary");
  BOOST_TEST(WaitForRevision(1));
  const int reads = kv.Calls("get");
  // 20 list poll intervals of a watcher.
  std::this_thread::sleep_for(Milliseconds(400));
  BOOST_TEST(kv.Calls("get") <= reads + 1);
  BOOST_TEST(kv.Calls("watch") == 0);
  BOOST_TEST(list.Fetches() == 1);
}

// Guards against a crash of the process, or a control thread that is not restarted, after an
// exception in a task.
BOOST_AUTO_TEST_CASE(failed_control_thread_is_restarted) {
  ActivatePreset("ordinary");
  const auto root = MakeSupervisor("root", SystemClock());
  for (Component* component : loop->Components()) {
    root->Add(component, RestartOptions());
  }
  BOOST_REQUIRE(root->Start(nullptr));
  BOOST_TEST(WaitForRevision(1));
  loop->Post([] { throw std::runtime_error("fault"); });
  ActivatePreset("peak");
  BOOST_TEST(WaitForRevision(2));
  root->Stop();
}

// Guards against tasks that are lost because they were queued together with one that throws, such
// as a new preset (seen once as a failure of the case above beside load).
BOOST_AUTO_TEST_CASE(tasks_after_one_that_throws_run_in_the_next_thread) {
  ActivatePreset("ordinary");
  const auto root = MakeSupervisor("root", SystemClock());
  for (Component* component : loop->Components()) {
    root->Add(component, RestartOptions());
  }
  BOOST_REQUIRE(root->Start(nullptr));
  BOOST_TEST(WaitForRevision(1));
  std::atomic<bool> queued{false};
  std::atomic<int> ran{0};
  loop->Post([&] { BOOST_TEST(WaitUntil([&] { return queued.load(); })); });
  loop->Post([] { throw std::runtime_error("fault"); });
  loop->Post([&] { ++ran; });
  loop->Post([&] { ++ran; });
  queued = true;
  BOOST_TEST(WaitUntil([&] { return ran.load() == 2; }));
  root->Stop();
}

// Guards against a draining instance that remains ready.
BOOST_AUTO_TEST_CASE(drain_ends_readiness) {
  ActivatePreset("ordinary");
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
