// Instances of the order service with a shared store and a fake service.

#ifndef TESTS_ORDERS_ORDER_FIXTURE_H_
#define TESTS_ORDERS_ORDER_FIXTURE_H_

#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <utility>

#include "azuregw/orders/claim_forwarder.h"
#include "azuregw/orders/order_committer.h"
#include "azuregw/orders/order_service.h"
#include "tests/fakes/memory_key_value_store.h"
#include "tests/orders/fake_service_client.h"

namespace azuregw {

// Prints result codes in messages of failed checks.
inline std::ostream& operator<<(std::ostream& out, ResultCode code) {
  return out << ResultCodeName(code);
}

// Returns a snapshot with the service "bookings", which has one operation of each kind.
inline std::shared_ptr<const Snapshot> MakeOrderSnapshot(int upstreams = 3, int shards = 4) {
  auto preset = std::make_shared<Preset>();
  preset->services["bookings"].operations = {
      OperationSpec{"POST", "/deposits", false, true},
      OperationSpec{"POST", "/notes", false, false},
      OperationSpec{"PUT", "/tags", true, false},
  };
  for (int i = 1; i <= upstreams; ++i) {
    const std::string name = "bookings-" + std::to_string(i);
    preset->service_upstreams[name] =
        ServiceUpstreamSpec{name, "bookings", "127.0.0.1:910" + std::to_string(i), "fd-a", 16};
  }
  preset->orders.shards = shards;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->preset = std::move(preset);
  snapshot->self = "gw-1";
  return snapshot;
}

// One instance of the order service. Its destruction acts like a crash: queued store calls are not
// made, and callers get no answer.
struct OrderInstance {
  OrderInstance(KeyValueStore* store, ServiceClient* client, uint64_t seed,
                CommitterOptions options = {}) {
    options.threads = 2;
    options.batcher.outcome_linger = Milliseconds(5);
    committer = MakeOrderCommitter(store, &SystemClock(), options);
    forwarder = MakeLocalClaimForwarder(committer.get());
    OrderServiceDependencies dependencies;
    dependencies.client = client;
    dependencies.forwarder = forwarder.get();
    dependencies.clock = &SystemClock();
    dependencies.random = MakeRandom(seed);
    service = MakeOrderService(std::move(dependencies));
  }

  std::future<Result<ServiceAnswer>> Start(ServiceCall call) {
    auto promise = std::make_shared<std::promise<Result<ServiceAnswer>>>();
    std::future<Result<ServiceAnswer>> answer = promise->get_future();
    service->Run(snapshot, std::move(call), [promise](Result<ServiceAnswer> result) {
      promise->set_value(std::move(result));
    });
    return answer;
  }

  Result<ServiceAnswer> Run(ServiceCall call) { return Start(std::move(call)).get(); }

  std::shared_ptr<const Snapshot> snapshot = MakeOrderSnapshot();
  std::unique_ptr<OrderCommitter> committer;
  std::unique_ptr<ClaimForwarder> forwarder;
  std::unique_ptr<OrderService> service;
};

// Returns a call that must run at most once. `time` is the time until its deadline.
inline ServiceCall Deposit(const std::string& key, Milliseconds time = Milliseconds(10000)) {
  ServiceCall call;
  call.workspace = "stall";
  call.service = "bookings";
  call.method = "POST";
  call.path = "/deposits";
  call.content_type = "application/json";
  call.body = R"({"amount":50})";
  call.idempotency_key = key;
  call.request_id = MakeUniqueId();
  call.deadline = SystemClock().Now() + time;
  return call;
}

}  // namespace azuregw

#endif  // TESTS_ORDERS_ORDER_FIXTURE_H_
