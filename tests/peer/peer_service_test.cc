// Instances with real control loops, connected over loopback TCP and one key-value service.

#include "azuregw/peer/peer_service.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/control/control_loop.h"
#include "azuregw/peer/frame_decoder.h"
#include "azuregw/peer/tcp_peer_transport.h"
#include "azuregw/preset/preset_store.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/fakes/preset_documents.h"

namespace azuregw {
namespace {

class SharedList final : public InstanceList {
 public:
  void Add(ListedInstance instance) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_list.push_back(std::move(instance));
  }
  Result<std::vector<ListedInstance>> Fetch() override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_list;
  }

 private:
  std::mutex m_mutex;
  std::vector<ListedInstance> m_list;
};

// One instance without traffic. The control loop is declared last, because it stops first.
struct TestInstance {
  TestInstance(const std::string& name, KeyValueStore* kv, SharedList* list)
      : hybrid_clock(SystemClock()) {
    TcpPeerOptions tcp;
    tcp.name = name;
    tcp.listen_address = "127.0.0.1:0";
    tcp.key = "key";
    transport = MakeTcpPeerTransport(tcp);
    ControlOptions control;
    control.self = name;
    control.failure_domain = "fd-a";
    control.tick = Milliseconds(50);
    control.list_interval = Milliseconds(200);
    control.watch_wait = Milliseconds(200);
    ControlDependencies platform;
    platform.clock = &SystemClock();
    platform.kv = kv;
    platform.list = list;
    loop = MakeControlLoop(control, platform);
    PeerServiceOptions options;
    options.membership.name = name;
    options.membership.failure_domain = "fd-a";
    PeerServiceDependencies dependencies;
    dependencies.transport = transport.get();
    dependencies.clock = &SystemClock();
    dependencies.hybrid_clock = &hybrid_clock;
    dependencies.post = [this](std::function<void()> task) { loop->Post(std::move(task)); };
    dependencies.on_preset = [this](uint64_t revision, std::string document) {
      loop->OnPresetFromPeer(revision, std::move(document));
    };
    peers = MakePeerService(options, dependencies);
    BOOST_REQUIRE(!peers->Start().has_error());
    ListedInstance entry;
    entry.name = name;
    entry.address = transport->ListenAddress();
    entry.failure_domain = "fd-a";
    list->Add(entry);
    loop->SetPeers(peers.get());
  }
  ~TestInstance() {
    peers->Stop();
    loop->Stop();
  }

  HybridLogicalClock hybrid_clock;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<PeerService> peers;
  std::unique_ptr<ControlLoop> loop;
};

bool WaitFor(const std::function<bool()>& condition) {
  const TimePoint limit = SystemClock().Now() + std::chrono::seconds(30);
  while (!condition() && SystemClock().Now() < limit) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return condition();
}

struct Fleet {
  explicit Fleet(int count) {
    for (int i = 0; i < count; ++i) {
      instances.push_back(std::make_unique<TestInstance>("gw-" + std::to_string(i), &kv, &list));
    }
    for (const auto& instance : instances) {
      instance->loop->Start();
    }
  }
  bool All(const std::function<bool(const Snapshot&)>& condition) const {
    for (const auto& instance : instances) {
      if (!condition(*instance->loop->Current())) {
        return false;
      }
    }
    return true;
  }
  bool WaitAll(const std::function<bool(const Snapshot&)>& condition) const {
    return WaitFor([&] { return All(condition); });
  }

  MemoryKeyValueStore kv;
  SharedList list;
  std::vector<std::unique_ptr<TestInstance>> instances;
};

BOOST_AUTO_TEST_SUITE(peer_service)

// Guards against instances that miss members, presets or leaving marks when the parts are put
// together, and against every instance watching the key.
BOOST_AUTO_TEST_CASE(control_loops_share_members_presets_and_marks) {
  Fleet fleet(3);
  BOOST_TEST(fleet.WaitAll([](const Snapshot& s) { return s.members.size() == 3; }));
  BOOST_TEST(fleet.WaitAll([](const Snapshot& s) { return !s.refreshing; }));
  PresetStore store(&fleet.kv, MakeUniqueId, [](Milliseconds) {});
  BOOST_REQUIRE(!store.Create("ordinary", TestPresetDocument().dump()).has_error());
  BOOST_REQUIRE(!store.Use("ordinary", "test", std::nullopt).has_error());
  BOOST_TEST(fleet.WaitAll([](const Snapshot& s) { return s.preset_revision > 0; }));
  fleet.instances[1]->loop->OnUpstreamLeaving("design-a1");
  BOOST_TEST(
      fleet.WaitAll([](const Snapshot& s) { return s.leaving_upstreams.count("design-a1") > 0; }));
  fleet.instances[2]->loop->OnUpstreamReturned("design-a1");
  BOOST_TEST(fleet.WaitAll([](const Snapshot& s) { return s.leaving_upstreams.empty(); }));
}

// Guards against lost or mixed-up replies, and against requests without an end.
BOOST_AUTO_TEST_CASE(requests_are_answered_or_time_out) {
  Fleet fleet(2);
  BOOST_REQUIRE(fleet.WaitAll([](const Snapshot& s) { return s.members.size() == 2; }));
  PeerService& asker = *fleet.instances[0]->peers;
  PeerService& owner = *fleet.instances[1]->peers;
  owner.SetRequestHandler(wire::Body::ClaimRequest,
                          [](const std::string& peer, const wire::EnvelopeT& request,
                             const PeerService::Responder& respond) {
                            wire::ClaimReplyT reply;
                            reply.message = peer + " " + request.body.AsClaimRequest()->claim_id;
                            respond(MakeEnvelope(reply));
                          });
  std::atomic<int> answered{0};
  std::atomic<int> right{0};
  BOOST_REQUIRE(WaitFor([&] {
    // The owner can answer once it knows the asker.
    std::atomic<int> result{0};
    asker.Request("gw-1", MakeEnvelope(wire::ClaimRequestT()), Milliseconds(300),
                  [&](const Result<wire::EnvelopeT>& reply) { result = reply ? 1 : 2; });
    WaitFor([&] { return result != 0; });
    return result == 1;
  }));
  for (int i = 0; i < 200; ++i) {
    wire::ClaimRequestT claim;
    claim.claim_id = std::to_string(i);
    asker.Request("gw-1", MakeEnvelope(claim), Milliseconds(20000),
                  [&, i](const Result<wire::EnvelopeT>& reply) {
                    const std::string expected = "gw-0 " + std::to_string(i);
                    right += reply && reply.value().body.AsClaimReply()->message == expected;
                    ++answered;
                  });
  }
  BOOST_TEST(WaitFor([&] { return answered == 200; }));
  BOOST_TEST(right == 200);
  std::atomic<int> timeouts{0};
  asker.Request("gw-1", MakeEnvelope(wire::TimelineRequestT()), Milliseconds(100),
                [&](const Result<wire::EnvelopeT>& reply) {
                  timeouts += reply.error().code == ResultCode::kPeerTimeout;
                });
  asker.Request("gw-9", MakeEnvelope(wire::TimelineRequestT()), Milliseconds(100),
                [&](const Result<wire::EnvelopeT>& reply) {
                  timeouts += reply.error().code == ResultCode::kPeerUnreachable;
                });
  BOOST_TEST(WaitFor([&] { return timeouts == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
