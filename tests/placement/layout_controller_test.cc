// Tests layer orders with lost replies, engine restarts and a change of leader.

#include "azuregw/placement/layout_controller.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/engine_fixture.h"
#include "tests/support/fake_async_store.h"
#include "tests/support/fake_log.h"
#include "tests/support/fake_loop.h"

namespace azuregw {
namespace {

// Engine control whose engines execute orders immediately, unless the replies are lost.
class FakeEngines final : public EngineControl {
 public:
  explicit FakeEngines(FakeLoop* loop) : m_loop(loop) {}

  void QueryReport(const std::string& address, Milliseconds /*limit*/,
                   std::function<void(Result<EngineReport>)> done) override {
    ++m_queries;
    CompleteLater([this, address, done] { done(m_reports[address]); });
  }
  void Place(const PlacementOrder& order, std::function<void(OrderOutcome)> done) override {
    m_orders.push_back(order);
    EngineReport& report = m_reports[order.address];
    OrderOutcome outcome = OrderOutcome::kStarted;
    if (order.fencing_token < m_highest_token) {
      outcome = OrderOutcome::kFenced;
    } else if (report.order_sequence != order.expected_sequence) {
      outcome = OrderOutcome::kConflict;
    } else if (m_lose_orders) {
      m_unanswered.push_back(order);
      outcome = OrderOutcome::kUnanswered;
    } else {
      ++report.order_sequence;
      report.layers = order.layers;
    }
    CompleteLater([done, outcome] { done(outcome); });
  }
  // Executes the orders without a reply if the engine still accepts them. Returns how many started.
  int ExecuteUnanswered() {
    int started = 0;
    for (const PlacementOrder& order : m_unanswered) {
      EngineReport& report = m_reports[order.address];
      if (report.order_sequence == order.expected_sequence) {
        ++report.order_sequence;
        report.layers = order.layers;
        ++started;
      }
    }
    m_unanswered.clear();
    return started;
  }
  void Reroute(const PathHop& /*first*/, const std::string& /*request_id*/,
               gsl::span<const PathHop> /*path*/, std::function<void(OrderOutcome)> done) override {
    CompleteLater([done] { done(OrderOutcome::kConflict); });
  }

  std::map<std::string, EngineReport> m_reports;  // Engine states by address.
  std::vector<PlacementOrder> m_orders;
  std::vector<PlacementOrder> m_unanswered;
  uint64_t m_highest_token = 0;
  bool m_lose_orders = false;
  int m_queries = 0;

 private:
  void CompleteLater(std::function<void()> action) {
    m_timers.push_back(m_loop->After(Milliseconds(3), std::move(action)));
  }
  FakeLoop* const m_loop;
  std::vector<std::unique_ptr<Timer>> m_timers;
};

struct Fixture {
  Fixture() {
    RoutingConfig config;
    config.version = 1;
    RoutedService service;
    service.name = "model";
    service.engine = MixedProfile();
    config.services["model"] = service;
    routes.Adopt(std::make_shared<const RoutingConfig>(std::move(config)));
    records = DeploymentEngines();
    PublishList();
    leader_lease.Start();
    controller.Start();
  }
  // Publishes the list of upstreams with the layers that the engines hold.
  void PublishList() {
    for (UpstreamRecord& record : records) {
      record.layers = engines.m_reports[record.address].layers;
    }
    fleet.Update(records, loop.Now());
  }
  void Run(int ms) {
    for (int i = 0; i < ms; i += 50) {
      loop.Advance(Milliseconds(50));
    }
  }

  FakeLoop loop;
  FakeAsyncStore store{&loop};
  FakeLog log;
  std::unique_ptr<Random> random = MakeRandom(5);
  LeaderLease leader_lease{&loop, &store, random.get(), &log, "duty", "me 10.0.0.1:1"};
  RouteTable routes{Milliseconds(0)};
  Fleet fleet;
  FakeEngines engines{&loop};
  LayoutController controller{&loop, &leader_lease, &routes, &fleet, &engines, &log};
  std::vector<UpstreamRecord> records;
};

BOOST_AUTO_TEST_SUITE(layout_controller)

BOOST_AUTO_TEST_CASE(every_engine_gets_one_order) {
  Fixture f;
  f.Run(5000);
  BOOST_TEST(f.engines.m_orders.size() == f.records.size());
  f.PublishList();
  f.Run(20000);
  BOOST_TEST(f.engines.m_orders.size() == f.records.size());
  for (const PlacementOrder& order : f.engines.m_orders) {
    BOOST_TEST(order.fencing_token == f.leader_lease.FencingToken());
  }
}

// Load pattern: the start of a deployment, whose engines register over two seconds. Guards against
// a layout whose shape follows from the engines that happened to register first.
BOOST_AUTO_TEST_CASE(first_layout_is_planned_for_the_complete_list) {
  Fixture f;
  const std::vector<UpstreamRecord> all = f.records;
  f.fleet.Update({}, f.loop.Now());
  for (size_t listed = 5; listed <= all.size(); listed += 7) {
    f.records.assign(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(listed));
    f.PublishList();
    f.Run(500);
    BOOST_TEST(f.engines.m_orders.empty());
  }
  f.records = all;
  f.PublishList();
  f.Run(3000);
  std::vector<LayoutEngine> engines;
  for (const UpstreamRecord& record : all) {
    engines.push_back({record.id, record.failure_domain, record.accelerator, std::nullopt});
  }
  std::map<std::string, LayerRange> planned;
  for (const LayoutChange& change : PlanLayout(MixedProfile(), engines)) {
    planned[change.id] = change.layers;
  }
  BOOST_REQUIRE(f.engines.m_orders.size() == all.size());
  for (const PlacementOrder& order : f.engines.m_orders) {
    BOOST_TEST((order.layers == planned[order.id]));
  }
}

// Guards against an engine that executes an old order after a newer one, because the old one got no
// reply and starts seconds later.
BOOST_AUTO_TEST_CASE(late_order_does_not_start_after_its_retry) {
  Fixture f;
  f.engines.m_lose_orders = true;
  f.Run(2000);
  BOOST_REQUIRE(!f.engines.m_unanswered.empty());
  f.engines.m_lose_orders = false;
  f.Run(3000);
  f.PublishList();
  BOOST_TEST(f.engines.ExecuteUnanswered() == 0);
  for (const UpstreamRecord& record : f.records) {
    BOOST_TEST(f.engines.m_reports[record.address].order_sequence == 1U);
  }
}

// Guards against an engine that stays without layers after a restart.
BOOST_AUTO_TEST_CASE(restarted_engine_is_ordered_again) {
  Fixture f;
  f.Run(5000);
  f.PublishList();
  const size_t orders_before = f.engines.m_orders.size();
  UpstreamRecord& restarted = f.records.front();
  f.engines.m_reports[restarted.address] = EngineReport();
  restarted.started_ms = 2;
  f.PublishList();
  f.Run(2000);
  BOOST_TEST(f.engines.m_orders.size() == orders_before + 1);
  BOOST_TEST(f.engines.m_orders.back().id == restarted.id);
}

// Guards against a new leader that repeats orders whose result is not listed yet.
BOOST_AUTO_TEST_CASE(engine_that_reports_layers_gets_no_order) {
  Fixture f;
  for (const UpstreamRecord& record : f.records) {
    f.engines.m_reports[record.address].layers = LayerRange{0, 8};
  }
  f.Run(3000);
  BOOST_TEST(f.engines.m_orders.empty());
}

// Guards against a leader that keeps using a fencing token that an engine has rejected.
BOOST_AUTO_TEST_CASE(fenced_leader_steps_down) {
  Fixture f;
  f.engines.m_highest_token = 1000000;
  f.Run(1600);
  BOOST_TEST(f.log.Count("duty_lost") >= 1);
  const uint64_t first = f.engines.m_orders.front().fencing_token;
  int with_first = 0;
  for (const PlacementOrder& order : f.engines.m_orders) {
    with_first += order.fencing_token == first ? 1 : 0;
  }
  const size_t count = f.engines.m_orders.size();
  f.Run(100);
  BOOST_TEST(f.engines.m_orders.size() == count);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
