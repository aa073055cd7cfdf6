// Instances of the order service on one thread, with a clock, a store and a service that a test
// steps and breaks at will. The shipped service, batcher and record are used; only the threads of
// the committer are replaced. Broken variants switch one mechanism off to show what it prevents.

#ifndef TESTS_ORDERS_ORDER_SIMULATION_H_
#define TESTS_ORDERS_ORDER_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/base/rendezvous.h"
#include "azuregw/orders/claim_forwarder.h"
#include "azuregw/orders/order_service.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/orders/fake_service_client.h"
#include "tests/orders/order_fixture.h"

namespace azuregw {

enum class Variant {
  kReal,
  kLeaseCheck,          // A pending claim older than 5 s is taken over.
  kBlindRepeat,         // A swap whose reply was lost is written again over what stands there.
  kNotRunAfterTimeout,  // A dispatch without reply counts as not run.
};

class SimClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Milliseconds(m_ms)); }
  int64_t WallMs() const override { return 1700000000000 + m_ms; }
  void Advance(int64_t ms) { m_ms += ms; }

 private:
  int64_t m_ms = 1000000;
};

// Adds writes that take effect late, and conflicts, to the in-memory store.
class SimStore final : public KeyValueStore {
 public:
  enum class Fault { kNone, kUnavailable, kLostReply, kLostRequest, kDelayed, kConflict };

  void Next(Fault fault) { m_faults.push_back(fault); }
  void SetDown(bool down) { m_memory.SetDown(down); }
  void DeliverDelayed() {
    for (const auto& write : std::exchange(m_delayed, {})) {
      (void)m_memory.CompareAndSwap(write.key, write.revision, write.value, "");
    }
  }

  Result<std::optional<KvEntry>> Get(std::string_view key) override { return m_memory.Get(key); }
  Result<std::vector<KvEntry>> List(std::string_view prefix) override {
    return m_memory.List(prefix);
  }
  Result<uint64_t> CompareAndSwap(std::string_view key, uint64_t expected, std::string_view value,
                                  std::string_view lease) override {
    Fault fault = Fault::kNone;
    if (!m_faults.empty()) {
      fault = m_faults.front();
      m_faults.pop_front();
    }
    if (fault == Fault::kUnavailable) {
      m_memory.InjectWrite(MemoryKeyValueStore::Fault::kUnavailable);
    } else if (fault == Fault::kLostReply) {
      m_memory.InjectWrite(MemoryKeyValueStore::Fault::kLostReply);
    } else if (fault == Fault::kLostRequest) {
      m_memory.InjectWrite(MemoryKeyValueStore::Fault::kLostRequest);
    } else if (fault == Fault::kDelayed) {
      m_delayed.push_back(KvEntry{std::string(key), std::string(value), expected});
      return Unknown(ResultCode::kKvOutcomeUnknown, "delayed");
    } else if (fault == Fault::kConflict) {
      Touch(key);
    }
    return m_memory.CompareAndSwap(key, expected, value, lease);
  }
  Result<uint64_t> Delete(std::string_view key, uint64_t expected) override {
    return m_memory.Delete(key, expected);
  }
  Result<KvWatchReply> Watch(std::string_view prefix, uint64_t after, Milliseconds wait) override {
    return m_memory.Watch(prefix, after, wait);
  }
  Result<std::string> GrantLease(Milliseconds ttl) override { return m_memory.GrantLease(ttl); }
  Result<void> RenewLease(std::string_view lease) override { return m_memory.RenewLease(lease); }

 private:
  // Raises the revision of the record without changing it.
  void Touch(std::string_view key) {
    const auto read = m_memory.Get(key);
    if (read && read.value()) {
      (void)m_memory.CompareAndSwap(key, read.value()->revision, read.value()->value, "");
    }
  }

  MemoryKeyValueStore m_memory;
  std::deque<Fault> m_faults;
  std::vector<KvEntry> m_delayed;  // `revision` is the expected one.
};

// Steps claim batchers over the store. A store call has three steps, so that other instances can
// act before the call, between the call and its reply, and after.
class SimForwarder final : public ClaimForwarder {
 public:
  SimForwarder(KeyValueStore* store, const SimClock* clock, Variant variant,
               BatcherOptions options = {})
      : m_store(store), m_clock(clock), m_variant(variant) {
    for (int shard = 0; shard < kShards; ++shard) {
      m_batchers.emplace_back("azuregw/orders/" + std::to_string(shard), options);
    }
    m_calls.resize(kShards);
    m_replies.resize(kShards);
  }

  void Submit(const Snapshot& /*snapshot*/, Claim claim, TimePoint deadline,
              ClaimCallback done) override {
    if (m_variant == Variant::kLeaseCheck) {
      done = WithLease(std::move(done));
    }
    Batcher(claim).Submit(claim, deadline, m_clock->Now(), std::move(done));
  }
  void Record(const Snapshot& /*snapshot*/, Claim outcome, RecordCallback done) override {
    if (!m_dead) {
      Batcher(outcome).Record(outcome, m_clock->Now(), std::move(done));
    }
  }
  void Flush() override {}

  // One step of one shard: choose a call, execute it, or take its reply.
  void Step(int shard) {
    if (m_replies[shard]) {
      m_batchers[shard].OnReply(*std::exchange(m_replies[shard], std::nullopt), m_clock->Now(),
                                m_clock->WallMs());
    } else if (m_calls[shard]) {
      m_replies[shard] = Execute(*std::exchange(m_calls[shard], std::nullopt));
    } else {
      m_calls[shard] = m_batchers[shard].NextCall(m_clock->Now(), m_clock->WallMs());
    }
    RunCallbacks(shard);
  }
  void Tick() {
    for (int shard = 0; shard < kShards; ++shard) {
      m_batchers[shard].Expire(m_clock->Now(), m_clock->WallMs());
      RunCallbacks(shard);
    }
  }
  // Whether a swap was executed whose reply has not been taken.
  bool HasReply() const {
    return std::any_of(m_replies.begin(), m_replies.end(),
                       [](const auto& reply) { return reply && reply->revision > 0; });
  }
  void Die() { m_dead = true; }

  static constexpr int kShards = 2;

 private:
  ClaimBatcher& Batcher(const Claim& claim) {
    return m_batchers[StableHash(claim.key_hash) % kShards];
  }

  void RunCallbacks(int shard) {
    for (const auto& callback : m_batchers[shard].TakeCallbacks()) {
      if (!m_dead) {
        callback();
      }
    }
  }

  // Takes a claim over when its holder's lease of 5 s has lapsed.
  ClaimCallback WithLease(ClaimCallback done) const {
    return [this, done = std::move(done)](ClaimReply reply) {
      const bool held =
          reply.decision == ClaimDecision::kInProgress || reply.decision == ClaimDecision::kUnknown;
      if (held && reply.existing && m_clock->WallMs() > reply.existing->created_ms + 5000) {
        reply.decision = ClaimDecision::kGranted;
      }
      done(reply);
    };
  }

  StoreReply Execute(const StoreCall& call) {
    StoreReply reply;
    if (call.kind == StoreCall::Kind::kRead) {
      auto read = m_store->Get(call.key);
      reply.code = read ? ResultCode::kOk : read.error().code;
      reply.entry = read ? read.value() : std::nullopt;
      return reply;
    }
    auto written = call.kind == StoreCall::Kind::kWrite
                       ? m_store->CompareAndSwap(call.key, call.expected, call.value, "")
                       : m_store->Delete(call.key, call.expected);
    if (!written && m_variant == Variant::kBlindRepeat &&
        written.error().code == ResultCode::kKvOutcomeUnknown) {
      const auto read = m_store->Get(call.key);
      const uint64_t revision = read && read.value() ? read.value()->revision : 0;
      written = m_store->CompareAndSwap(call.key, revision, call.value, "");
    }
    reply.code = written ? ResultCode::kOk : written.error().code;
    reply.revision = written ? written.value() : 0;
    return reply;
  }

  KeyValueStore* const m_store;
  const SimClock* const m_clock;
  const Variant m_variant;
  std::deque<ClaimBatcher> m_batchers;  // By shard, as the vectors below.
  std::vector<std::optional<StoreCall>> m_calls;
  std::vector<std::optional<StoreReply>> m_replies;
  bool m_dead = false;
};

// Turns lost replies into not_run in the variant kNotRunAfterTimeout.
class SimClient final : public ServiceClient {
 public:
  SimClient(ServiceClient* client, Variant variant) : m_client(client), m_variant(variant) {}
  void Call(ServiceRequest request, std::function<void(Result<ServiceReply>)> done) override {
    if (m_variant != Variant::kNotRunAfterTimeout) {
      m_client->Call(std::move(request), std::move(done));
      return;
    }
    m_client->Call(std::move(request), [done = std::move(done)](Result<ServiceReply> result) {
      if (!result) {
        result.error().outcome = RunOutcome::kNotRun;
      }
      done(std::move(result));
    });
  }
  void FetchLoad(const std::string& address,
                 std::function<void(Result<ServiceLoad>)> done) override {
    m_client->FetchLoad(address, std::move(done));
  }

 private:
  ServiceClient* const m_client;
  const Variant m_variant;
};

// What one request was told.
struct SimRequest {
  std::string key;
  std::string id;
  std::optional<Result<ServiceAnswer>> told;
};

class OrderSimulation {
 public:
  OrderSimulation(Variant variant, int instances, BatcherOptions options = {})
      : m_client(&service, variant), m_variant(variant), m_options(options) {
    m_options.outcome_linger = Milliseconds(0);
    for (int i = 0; i < instances; ++i) {
      m_instances.push_back(MakeInstance());
    }
  }

  // Starts a request; the result is filled in when the caller is answered.
  std::shared_ptr<SimRequest> Request(int instance, const std::string& key,
                                      int64_t time_ms = 30000) {
    auto request = std::make_shared<SimRequest>();
    ServiceCall call = Deposit(key);
    call.deadline = clock.Now() + Milliseconds(time_ms);
    request->key = key;
    request->id = call.request_id;
    m_requests.push_back(request);
    m_instances[instance]->service->Run(
        m_snapshot, std::move(call),
        [request](Result<ServiceAnswer> result) { request->told = std::move(result); });
    return request;
  }

  void Step(int instance, int shard) { m_instances[instance]->forwarder.Step(shard); }
  // Steps an instance until the swap with its claim was executed and its reply is on the way.
  void StepUntilSwapped(int instance) {
    for (int i = 0; i < 100 && !m_instances[instance]->forwarder.HasReply(); ++i) {
      Step(instance, i % SimForwarder::kShards);
      if (!m_instances[instance]->forwarder.HasReply()) {
        Step(instance, i % SimForwarder::kShards);
      }
    }
  }
  // Runs all instances but `paused` until nothing changes any more, moving the clock slowly.
  void Settle(int paused = -1, int rounds = 200) {
    for (int i = 0; i < rounds; ++i) {
      for (int instance = 0; instance < static_cast<int>(m_instances.size()); ++instance) {
        for (int shard = 0; instance != paused && shard < SimForwarder::kShards; ++shard) {
          Step(instance, shard);
        }
      }
      clock.Advance(5);
    }
  }
  void Tick(int instance) { m_instances[instance]->forwarder.Tick(); }
  // The process ends; another one takes its place.
  void Kill(int instance) {
    m_instances[instance]->forwarder.Die();
    m_instances[instance]->service.reset();
    m_dead.push_back(std::move(m_instances[instance]));
    m_instances[instance] = MakeInstance();
  }

  // Requests and keys whose answers contradict the effects. Empty when all invariants hold.
  std::vector<std::string> Violations() const {
    std::vector<std::string> found;
    for (const auto& request : m_requests) {
      if (service.Effects(request->key) > 1) {
        found.push_back("key " + request->key + " ran more than once");
      }
      const int effects = service.EffectsOfRequest(request->id);
      if (!request->told) {
        continue;
      }
      const Result<ServiceAnswer>& told = *request->told;
      const bool not_run = !told && told.error().outcome == RunOutcome::kNotRun;
      const bool run = told && !told.value().replayed;
      if (not_run && effects != 0) {
        found.push_back("told not_run, but ran");
      }
      if (run && effects != 1) {
        found.push_back("told run, but did not run");
      }
      if (told && told.value().replayed && service.Effects(request->key) != 1) {
        found.push_back("answer replayed of a key without one effect");
      }
    }
    return found;
  }

  SimClock clock;
  SimStore store;
  FakeServiceClient service;

 private:
  struct Instance {
    Instance(KeyValueStore* store, const SimClock* clock, Variant variant, BatcherOptions options)
        : forwarder(store, clock, variant, options) {}
    SimForwarder forwarder;
    std::unique_ptr<OrderService> service;
  };

  std::unique_ptr<Instance> MakeInstance() {
    auto instance = std::make_unique<Instance>(&store, &clock, m_variant, m_options);
    OrderServiceDependencies parts;
    parts.client = &m_client;
    parts.forwarder = &instance->forwarder;
    parts.clock = &clock;
    parts.random = MakeRandom(7);
    instance->service = MakeOrderService(std::move(parts));
    return instance;
  }

  SimClient m_client;
  const Variant m_variant;
  BatcherOptions m_options;
  std::shared_ptr<const Snapshot> m_snapshot = MakeOrderSnapshot();
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Instance>> m_dead;  // Kept for late callbacks.
  std::vector<std::shared_ptr<SimRequest>> m_requests;
};

}  // namespace azuregw

#endif  // TESTS_ORDERS_ORDER_SIMULATION_H_
