// Tests of forwarding claims to the owner of a shard. Safety must not depend on the owner, on its
// answers or on agreement about which instance it is.

#include "azuregw/orders/peer_claim_forwarder.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/orders/order_fixture.h"

namespace azuregw {
namespace {

// Delivers requests between the instances of one process. Thread-safe.
class FakeNetwork {
 public:
  enum class Fault { kNone, kUnreachable, kLostReply };

  void SetFault(Fault fault) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = fault;
  }
  int Requests() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
  }
  void Add(const std::string& name, wire::Body kind, PeerService::RequestHandler handler) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_handlers[{name, kind}] = std::move(handler);
  }
  void Request(const std::string& from, const std::string& to, const wire::EnvelopeT& request,
               const PeerService::ReplyCallback& done) {
    PeerService::RequestHandler handler;
    Fault fault = Fault::kNone;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      ++m_requests;
      fault = m_fault;
      handler = m_handlers.at({to, request.body.type});
    }
    if (fault == Fault::kUnreachable) {
      done(NotRun(ResultCode::kPeerUnreachable, "cut"));
    } else if (fault == Fault::kLostReply) {
      handler(from, request, [](const wire::EnvelopeT&) {});
      done(Unknown(ResultCode::kPeerTimeout, "no reply"));
    } else {
      handler(from, request, [done](wire::EnvelopeT reply) { done(std::move(reply)); });
    }
  }

 private:
  mutable std::mutex m_mutex;  // Guards all members.
  std::map<std::pair<std::string, wire::Body>, PeerService::RequestHandler> m_handlers;
  Fault m_fault = Fault::kNone;
  int m_requests = 0;
};

// Peer service of one instance, connected to a FakeNetwork.
class FakePeers final : public PeerService {
 public:
  FakePeers(FakeNetwork* network, std::string name) : m_network(network), m_name(std::move(name)) {}
  Result<void> Start() override { return boost::outcome_v2::success(); }
  void Stop() override {}
  void SetRequestHandler(wire::Body kind, RequestHandler handler) override {
    m_network->Add(m_name, kind, std::move(handler));
  }
  void Request(const std::string& peer, wire::EnvelopeT request, Milliseconds /*timeout*/,
               ReplyCallback done) override {
    m_network->Request(m_name, peer, request, done);
  }
  // Claims do not use membership.
  void Tick(TimePoint /*now*/) override {}
  void OnList(gsl::span<const ListedInstance> /*list*/, TimePoint /*now*/) override {}
  void MarkUpstreamLeaving(const std::string& /*upstream*/, TimePoint /*now*/) override {}
  void ReturnUpstream(const std::string& /*upstream*/, TimePoint /*now*/) override {}
  void OnUpstreamReport(const std::string& /*upstream*/, bool /*leaving*/,
                        int64_t /*measured_wall_ms*/, TimePoint /*now*/) override {}
  void AnnounceLeaving(TimePoint /*now*/) override {}
  void PublishPreset(const ActivePreset& /*version*/, TimePoint /*now*/) override {}
  std::vector<MemberView> Members() const override { return {}; }
  std::set<std::string> LeavingUpstreams() const override { return {}; }
  bool IsWatcher() const override { return false; }
  bool IsRefreshing() const override { return false; }
  uint64_t Version() const override { return 0; }

 private:
  FakeNetwork* const m_network;
  const std::string m_name;
};

// One of three instances that forward claims to each other.
struct PeerInstance {
  PeerInstance(FakeNetwork* network, KeyValueStore* store, ServiceClient* client,
               const std::string& name)
      : peers(network, name) {
    CommitterOptions options;
    options.threads = 2;
    options.batcher.outcome_linger = Milliseconds(2);
    committer = MakeOrderCommitter(store, &SystemClock(), options);
    RegisterClaimHandlers(&peers, committer.get(), &SystemClock());
    forwarder = MakePeerClaimForwarder(&peers, committer.get(), &SystemClock());
    OrderServiceDependencies dependencies;
    dependencies.client = client;
    dependencies.forwarder = forwarder.get();
    dependencies.clock = &SystemClock();
    dependencies.random = MakeRandom(1);
    service = MakeOrderService(std::move(dependencies));
    auto member_snapshot = std::make_shared<Snapshot>(*MakeOrderSnapshot());
    member_snapshot->self = name;
    for (const char* member : {"gw-1", "gw-2", "gw-3"}) {
      member_snapshot->members.push_back(MemberView{member, "", "", "fd-a", 0, false});
    }
    snapshot = member_snapshot;
  }

  std::future<Result<ServiceAnswer>> Start(ServiceCall call) const {
    auto promise = std::make_shared<std::promise<Result<ServiceAnswer>>>();
    service->Run(snapshot, std::move(call), [promise](Result<ServiceAnswer> result) {
      promise->set_value(std::move(result));
    });
    return promise->get_future();
  }

  FakePeers peers;
  std::unique_ptr<OrderCommitter> committer;
  std::unique_ptr<ClaimForwarder> forwarder;
  std::unique_ptr<OrderService> service;
  std::shared_ptr<const Snapshot> snapshot;
};

struct Fixture {
  MemoryKeyValueStore store;
  FakeServiceClient client;
  FakeNetwork network;
  PeerInstance first{&network, &store, &client, "gw-1"};
  PeerInstance second{&network, &store, &client, "gw-2"};
  PeerInstance third{&network, &store, &client, "gw-3"};

  // Sends each key to all instances concurrently, twice, and checks that each order runs once.
  void RunOrders(const std::string& prefix) {
    for (int round = 0; round < 2; ++round) {
      std::vector<std::future<Result<ServiceAnswer>>> answers;
      for (int i = 0; i < 40; ++i) {
        for (PeerInstance* instance : {&first, &second, &third}) {
          answers.push_back(instance->Start(Deposit(prefix + std::to_string(i))));
        }
      }
      for (auto& answer : answers) {
        const Result<ServiceAnswer> result = answer.get();
        BOOST_TEST((result || result.error().code == ResultCode::kOrderInProgress));
      }
      for (PeerInstance* instance : {&first, &second, &third}) {
        BOOST_TEST(instance->service->Flush(SystemClock().Now() + Milliseconds(10000)) == 0);
      }
    }
    for (int i = 0; i < 40; ++i) {
      BOOST_TEST(client.Effects(prefix + std::to_string(i)) == 1);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(peer_claim_forwarder, Fixture)

// Guards against instances that disagree about the owner of a shard.
BOOST_AUTO_TEST_CASE(instances_agree_on_owners_and_skip_leaving_ones) {
  auto leaving = std::make_shared<Snapshot>(*first.snapshot);
  leaving->members[0].leaving = true;
  for (int shard = 0; shard < 50; ++shard) {
    BOOST_TEST(ShardOwner(*first.snapshot, shard) == ShardOwner(*second.snapshot, shard));
    BOOST_TEST(ShardOwner(*leaving, shard) != "gw-1");
  }
}

// Guards against double runs, and against claims that bypass an owner that answers.
BOOST_AUTO_TEST_CASE(orders_run_once_through_the_owner) {
  RunOrders("a");
  BOOST_TEST(network.Requests() > 0);
}

// Guards against orders that fail or run twice while the owner is unreachable.
BOOST_AUTO_TEST_CASE(unreachable_owner) {
  network.SetFault(FakeNetwork::Fault::kUnreachable);
  RunOrders("b");
}

// Guards against a second run when the owner commits a claim and its reply is lost: the sender
// commits the same claim ID itself, and both see it granted.
BOOST_AUTO_TEST_CASE(lost_replies_of_the_owner) {
  network.SetFault(FakeNetwork::Fault::kLostReply);
  RunOrders("c");
}

// Guards against not_run for an order that may still run, and against a blocked key: claims are
// refused while the store is unavailable, and the key can be claimed afterwards.
BOOST_AUTO_TEST_CASE(store_unavailable_to_the_owner) {
  RunOrders("d");
  store.SetDown(true);
  const Result<ServiceAnswer> refused = first.Start(Deposit("e", Milliseconds(400))).get();
  const Result<ServiceAnswer> refused_second = second.Start(Deposit("e", Milliseconds(400))).get();
  for (const auto* result : {&refused, &refused_second}) {
    BOOST_REQUIRE(!*result);
    BOOST_TEST(result->error().code == ResultCode::kOrderClaimUnavailable);
    BOOST_TEST((result->error().outcome == RunOutcome::kNotRun));
  }
  store.SetDown(false);
  BOOST_TEST(client.Effects("e") == 0);
  BOOST_TEST(third.Start(Deposit("e")).get().has_value());
  BOOST_TEST(client.Effects("e") == 1);
}

// Guards against a decision that changes when it is sent between instances.
BOOST_AUTO_TEST_CASE(retry_at_another_instance_gets_the_same_error) {
  client.Next(FakeServiceClient::Behaviour::kLoseReply);
  BOOST_TEST(!first.Start(Deposit("f")).get());
  BOOST_TEST(first.service->Flush(SystemClock().Now() + Milliseconds(5000)) == 0);
  ServiceCall other = Deposit("f");
  other.body = "{}";
  for (const PeerInstance* instance : {&first, &second, &third}) {
    BOOST_TEST(instance->Start(Deposit("f")).get().error().code ==
               ResultCode::kOrderOutcomeUnknown);
    BOOST_TEST(instance->Start(other).get().error().code == ResultCode::kIdempotencyKeyReused);
  }
}
BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
