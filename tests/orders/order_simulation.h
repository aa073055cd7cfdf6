// Deterministic simulation of several instances of the order service.

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

// Protocol under test; all except kReal disable one mechanism to show what it prevents.
enum class Variant {
  kReal,
  kLeaseTakeover,       // A claim older than 5 s that has no outcome is taken over.
  kBlindRetry,          // After a lost reply, a swap is written again over any current content.
  kNotRunAfterTimeout,  // A dispatch without a reply counts as not_run.
};

// Clock that advances only on request.
class SimClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(Milliseconds(m_ms)); }
  int64_t WallMs() const override { return 1700000000000 + m_ms; }
  void Advance(int64_t ms) { m_ms += ms; }

 private:
  int64_t m_ms = 1000000;
};

// In-memory store with scripted faults, including delayed writes and conflicts.
class SimStore final : public KeyValueStore {
 public:
  enum class Fault { kNone, kUnavailable, kLostReply, kLostRequest, kDelayed, kConflict };

  // Appends the fault of a later write; writes without one succeed.
  void Next(Fault fault) { m_faults.push_back(fault); }
  void SetDown(bool down) { m_memory.SetDown(down); }
  // Applies the delayed writes.
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
  // Raises the revision of an entry without changing its value.
  void Touch(std::string_view key) {
    const auto read = m_memory.Get(key);
    if (read && read.value()) {
      (void)m_memory.CompareAndSwap(key, read.value()->revision, read.value()->value, "");
    }
  }

  MemoryKeyValueStore m_memory;
  std::deque<Fault> m_faults;
  std::vector<KvEntry> m_delayed;  // Delayed writes; `revision` is the expected revision.
};

// Forwarder that runs the claim batchers of one instance step by step. A store call takes three
// steps, so that other instances can act before the call, between call and reply, and afterwards.
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
    if (m_variant == Variant::kLeaseTakeover) {
      done = WithLeaseTakeover(std::move(done));
    }
    Batcher(claim).Submit(claim, deadline, m_clock->Now(), std::move(done));
  }
  void Record(const Snapshot& /*snapshot*/, Claim outcome, RecordCallback done) override {
    if (!m_stopped) {
      Batcher(outcome).Record(outcome, m_clock->Now(), std::move(done));
    }
  }
  void Flush() override {}

  // Makes one step of a shard: chooses a call, executes it, or processes its reply.
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
  // Refuses claims whose deadline has passed.
  void Tick() {
    for (int shard = 0; shard < kShards; ++shard) {
      m_batchers[shard].Expire(m_clock->Now(), m_clock->WallMs());
      RunCallbacks(shard);
    }
  }
  // Returns whether a write was executed and its reply is not processed yet.
  bool HasReply() const {
    return std::any_of(m_replies.begin(), m_replies.end(),
                       [](const auto& reply) { return reply && reply->revision > 0; });
  }
  // Drops all later callbacks and outcomes, as a killed process does.
  void Stop() { m_stopped = true; }

  static constexpr int kShards = 2;

 private:
  ClaimBatcher& Batcher(const Claim& claim) {
    return m_batchers[StableHash(claim.key_hash) % kShards];
  }

  void RunCallbacks(int shard) {
    for (const auto& callback : m_batchers[shard].TakeCallbacks()) {
      if (!m_stopped) {
        callback();
      }
    }
  }

  // Grants a claim after the lease of its holder, which lasts 5 s, has expired.
  ClaimCallback WithLeaseTakeover(ClaimCallback done) const {
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
    if (!written && m_variant == Variant::kBlindRetry &&
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
  std::deque<ClaimBatcher> m_batchers;               // Batchers by shard.
  std::vector<std::optional<StoreCall>> m_calls;     // Calls to execute, by shard.
  std::vector<std::optional<StoreReply>> m_replies;  // Replies to process, by shard.
  bool m_stopped = false;
};

// Service client that reports failed calls as not_run in the variant kNotRunAfterTimeout.
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

// One request and its response.
struct SimRequest {
  std::string key;
  std::string id;
  std::optional<Result<ServiceAnswer>> response;  // Nullopt until the caller is answered.
};

// Runs instances of the order service on one thread. A test controls their clock, store and
// service, and steps each shard. The production service, batcher and record are used; only the
// threads of the committer are replaced.
class OrderSimulation {
 public:
  OrderSimulation(Variant variant, int instances, BatcherOptions options = {})
      : m_client(&service, variant), m_variant(variant), m_options(options) {
    m_options.outcome_linger = Milliseconds(0);
    for (int i = 0; i < instances; ++i) {
      m_instances.push_back(MakeInstance());
    }
  }

  // Starts a request with a deadline in `time_ms`; its response is set when the caller is answered.
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
        [request](Result<ServiceAnswer> result) { request->response = std::move(result); });
    return request;
  }

  void Step(int instance, int shard) { m_instances[instance]->forwarder.Step(shard); }
  // Steps an instance until a swap was executed and its reply is not processed yet.
  void StepUntilSwapped(int instance) {
    for (int i = 0; i < 100 && !m_instances[instance]->forwarder.HasReply(); ++i) {
      Step(instance, i % SimForwarder::kShards);
      if (!m_instances[instance]->forwarder.HasReply()) {
        Step(instance, i % SimForwarder::kShards);
      }
    }
  }
  // Steps all instances except `paused` (-1: none) `rounds` times, 5 ms apart.
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
  // Kills the process of an instance and starts a new one.
  void Kill(int instance) {
    m_instances[instance]->forwarder.Stop();
    m_instances[instance]->service.reset();
    m_killed.push_back(std::move(m_instances[instance]));
    m_instances[instance] = MakeInstance();
  }

  // Returns descriptions of double runs and of responses that contradict the executions.
  std::vector<std::string> Violations() const {
    std::vector<std::string> found;
    for (const auto& request : m_requests) {
      if (service.Effects(request->key) > 1) {
        found.push_back("key " + request->key + " ran more than once");
      }
      const int effects = service.EffectsOfRequest(request->id);
      if (!request->response) {
        continue;
      }
      const Result<ServiceAnswer>& response = *request->response;
      const bool not_run = !response && response.error().outcome == RunOutcome::kNotRun;
      const bool run = response && !response.value().replayed;
      if (not_run && effects != 0) {
        found.push_back("response says not_run, but the order ran");
      }
      if (run && effects != 1) {
        found.push_back("response says run, but the order did not run");
      }
      if (response && response.value().replayed && service.Effects(request->key) != 1) {
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
    OrderServiceDependencies dependencies;
    dependencies.client = &m_client;
    dependencies.forwarder = &instance->forwarder;
    dependencies.clock = &clock;
    dependencies.random = MakeRandom(7);
    instance->service = MakeOrderService(std::move(dependencies));
    return instance;
  }

  SimClient m_client;
  const Variant m_variant;
  BatcherOptions m_options;
  std::shared_ptr<const Snapshot> m_snapshot = MakeOrderSnapshot();
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Instance>> m_killed;  // Killed instances, kept for late callbacks.
  std::vector<std::shared_ptr<SimRequest>> m_requests;
};

}  // namespace azuregw

#endif  // TESTS_ORDERS_ORDER_SIMULATION_H_
