// Orders of layers through lost answers, restarts and a new holder.

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

// Engines that carry orders out at once, unless their answers are lost.
class FakeEngines final : public EngineControl {
 public:
  explicit FakeEngines(FakeLoop* loop) : m_loop(loop) {}

  void QueryReport(const std::string& address, Milliseconds /*limit*/,
                   std::function<void(Result<EngineReport>)> done) override {
    ++m_questions;
    Later([this, address, done] { done(m_reports[address]); });
  }
  void Place(const PlaceOrder& order, std::function<void(OrderOutcome)> done) override {
    m_orders.push_back(order);
    EngineReport& report = m_reports[order.address];
    OrderOutcome outcome = OrderOutcome::kStarted;
    if (order.fencing_token < m_highest_token) {
      outcome = OrderOutcome::kFenced;
    } else if (report.order_sequence != order.expected_sequence) {
      outcome = OrderOutcome::kConflict;
    } else if (m_lose_orders) {
      m_late.push_back(order);
      outcome = OrderOutcome::kUnanswered;
    } else {
      ++report.order_sequence;
      report.layers = order.layers;
    }
    Later([done, outcome] { done(outcome); });
  }
  // The orders without an answer are carried out now, where the engine still accepts them.
  int CarryOutLate() {
    int begun = 0;
    for (const PlaceOrder& order : m_late) {
      EngineReport& report = m_reports[order.address];
      if (report.order_sequence == order.expected_sequence) {
        ++report.order_sequence;
        report.layers = order.layers;
        ++begun;
      }
    }
    m_late.clear();
    return begun;
  }
  void Reroute(const PathHop& /*first*/, const std::string& /*request_id*/,
               gsl::span<const PathHop> /*path*/, std::function<void(OrderOutcome)> done) override {
    Later([done] { done(OrderOutcome::kConflict); });
  }

  std::map<std::string, EngineReport> m_reports;  // By address.
  std::vector<PlaceOrder> m_orders;
  std::vector<PlaceOrder> m_late;
  uint64_t m_highest_token = 0;
  bool m_lose_orders = false;
  int m_questions = 0;

 private:
  void Later(std::function<void()> action) {
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
    List();
    duty.Start();
    runner.Start();
  }
  // Lists what the engines hold.
  void List() {
    for (UpstreamRecord& record : records) {
      record.layers = engines.m_reports[record.address].layers;
    }
    fleet.Update(records, false, loop.Now());
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
  LeaderLease duty{&loop, &store, random.get(), &log, "duty", "me 10.0.0.1:1"};
  RouteTable routes{Milliseconds(0)};
  Fleet fleet;
  FakeEngines engines{&loop};
  LayoutController runner{&loop, &duty, &routes, &fleet, &engines, &log};
  std::vector<UpstreamRecord> records;
};

BOOST_AUTO_TEST_SUITE(layout_controller)

BOOST_AUTO_TEST_CASE(every_engine_gets_one_order) {
  Fixture f;
  f.Run(5000);
  BOOST_TEST(f.engines.m_orders.size() == f.records.size());
  f.List();
  f.Run(20000);
  BOOST_TEST(f.engines.m_orders.size() == f.records.size());
  for (const PlaceOrder& order : f.engines.m_orders) {
    BOOST_TEST(order.fencing_token == f.duty.FencingToken());
  }
}

// Guards against an engine that carries out an old order after a newer one, when the first got no
// answer and begins seconds later.
BOOST_AUTO_TEST_CASE(late_order_cannot_begin_beside_its_repeat) {
  Fixture f;
  f.engines.m_lose_orders = true;
  f.Run(2000);
  BOOST_REQUIRE(!f.engines.m_late.empty());
  f.engines.m_lose_orders = false;
  f.Run(3000);
  f.List();
  BOOST_TEST(f.engines.CarryOutLate() == 0);
  for (const UpstreamRecord& record : f.records) {
    BOOST_TEST(f.engines.m_reports[record.address].order_sequence == 1U);
  }
}

// Guards against an engine that restarted empty and stays without layers.
BOOST_AUTO_TEST_CASE(restarted_engine_is_ordered_again) {
  Fixture f;
  f.Run(5000);
  f.List();
  const size_t before = f.engines.m_orders.size();
  UpstreamRecord& restarted = f.records.front();
  f.engines.m_reports[restarted.address] = EngineReport();
  restarted.started_ms = 2;
  f.List();
  f.Run(2000);
  BOOST_TEST(f.engines.m_orders.size() == before + 1);
  BOOST_TEST(f.engines.m_orders.back().id == restarted.id);
}

// Guards against a new holder that repeats what the list does not show yet.
BOOST_AUTO_TEST_CASE(engine_that_holds_layers_by_its_report_is_not_ordered) {
  Fixture f;
  for (const UpstreamRecord& record : f.records) {
    f.engines.m_reports[record.address].layers = LayerRange{0, 8};
  }
  f.Run(3000);
  BOOST_TEST(f.engines.m_orders.empty());
}

// Guards against a holder that goes on with a token that an engine has refused.
BOOST_AUTO_TEST_CASE(fenced_holder_steps_down) {
  Fixture f;
  f.engines.m_highest_token = 1000000;
  f.Run(1600);
  BOOST_TEST(f.log.Count("duty_lost") >= 1);
  const uint64_t first = f.engines.m_orders.front().fencing_token;
  int with_first = 0;
  for (const PlaceOrder& order : f.engines.m_orders) {
    with_first += order.fencing_token == first ? 1 : 0;
  }
  const size_t count = f.engines.m_orders.size();
  f.Run(100);
  BOOST_TEST(f.engines.m_orders.size() == count);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
