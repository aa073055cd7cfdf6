// Tests of AdmissionController: one callback per request, refusal codes, limits and priorities.

#include "azuregw/admission/admission_controller.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace azuregw {
namespace {

class FakeClock final : public Clock {
 public:
  TimePoint Now() const override { return now; }
  int64_t WallMs() const override { return 0; }
  TimePoint now{std::chrono::hours(1)};
};

using Outcome = std::optional<Result<std::shared_ptr<AdmissionTicket>>>;

// A controller with one service upstream of the given capacity.
struct Fixture {
  explicit Fixture(int capacity = 2) {
    ServiceUpstreamSpec upstream{"bookings-1", "bookings", "127.0.0.1:9101", "fd-a", capacity};
    preset->service_upstreams["bookings-1"] = upstream;
    snapshot = MakeSnapshot();
  }
  std::shared_ptr<Snapshot> MakeSnapshot() const {
    auto made = std::make_shared<Snapshot>();
    made->preset = preset;
    return made;
  }
  std::shared_ptr<Outcome> Admit(const std::string& workspace, int deadline_ms = 10000,
                                 int priority = 5, bool resumed = false) {
    auto outcome = std::make_shared<Outcome>();
    AdmissionRequest request;
    request.workspace = workspace;
    request.target = "service/bookings";
    request.priority = priority;
    request.deadline = clock.now + Milliseconds(deadline_ms);
    request.resumed = resumed;
    controller->Admit(snapshot, request, clock.now, [outcome](auto result) {
      BOOST_REQUIRE(!outcome->has_value());  // At most one callback.
      outcome->emplace(std::move(result));
    });
    return outcome;
  }
  static bool Admitted(const std::shared_ptr<Outcome>& o) {
    return o->has_value() && (*o)->has_value();
  }
  static bool Refused(const std::shared_ptr<Outcome>& o, ResultCode code) {
    return o->has_value() && (*o)->has_error() && (*o)->error().code == code &&
           (*o)->error().outcome == RunOutcome::kNotRun && (*o)->error().retry_after.has_value();
  }
  // Runs one request for `ms`, which sets the hold time and the first-result latency.
  void Measure(int ms) {
    const auto outcome = Admit("measure");
    clock.now += Milliseconds(ms);
    (*outcome)->value()->OnFirstResult(Milliseconds(ms));
    outcome->reset();
  }

  FakeClock clock;
  std::shared_ptr<Preset> preset = std::make_shared<Preset>();
  std::shared_ptr<Snapshot> snapshot;
  std::unique_ptr<AdmissionController> controller = MakeAdmissionController(clock);
};

BOOST_AUTO_TEST_SUITE(admission_controller)

// Guards against more requests in progress than the capacity, and against lost waiting requests.
BOOST_AUTO_TEST_CASE(waiting_request_starts_after_a_release) {
  Fixture f(2);
  auto a = f.Admit("w");
  auto b = f.Admit("w");
  auto c = f.Admit("w");
  BOOST_TEST(Fixture::Admitted(a));
  BOOST_TEST(Fixture::Admitted(b));
  BOOST_TEST(!c->has_value());
  a->reset();
  BOOST_TEST(Fixture::Admitted(c));
}

// Guards against requests that wait although they cannot meet their deadline.
BOOST_AUTO_TEST_CASE(unreachable_deadline_is_refused_early) {
  Fixture f(1);
  f.Measure(1000);
  auto running = f.Admit("w");
  auto hopeless = f.Admit("w", 500);
  BOOST_TEST(Fixture::Refused(hopeless, ResultCode::kDeadlineUnreachable));
  auto patient = f.Admit("w", 5000);
  BOOST_TEST(!patient->has_value());
  f.clock.now += Milliseconds(4400);
  (*running)->value()->OnFirstResult(Milliseconds(1000));
  f.clock.now += Milliseconds(100);
  f.controller->Tick(f.clock.now);
  BOOST_TEST(Fixture::Refused(patient, ResultCode::kDeadlineUnreachable));
}

// Guards against a workspace that exceeds its limit or uses the whole capacity.
BOOST_AUTO_TEST_CASE(workspace_limit) {
  Fixture f(10);
  f.preset->workspaces["w"].max_inflight = 2;
  auto a = f.Admit("w");
  auto b = f.Admit("w");
  BOOST_TEST(Fixture::Refused(f.Admit("w"), ResultCode::kWorkspaceLimit));
  BOOST_TEST(Fixture::Admitted(f.Admit("x")));
  a->reset();
  BOOST_TEST(Fixture::Admitted(f.Admit("w")));
}

// Guards against refusing or queueing a stream whose work has started at another instance.
BOOST_AUTO_TEST_CASE(resumed_stream_is_admitted_immediately) {
  Fixture f(1);
  f.preset->workspaces["w"].max_inflight = 2;
  f.Measure(1000);
  auto running = f.Admit("w");
  auto waiting = f.Admit("w");
  BOOST_TEST(!waiting->has_value());
  BOOST_TEST(Fixture::Admitted(f.Admit("w", 1, 5, true)));
}

// Guards against ignoring priorities within a workspace.
BOOST_AUTO_TEST_CASE(priority_orders_a_workspace) {
  Fixture f(1);
  f.preset->workspaces["w"].priority = 9;
  auto running = f.Admit("w");
  auto low = f.Admit("w", 10000, 1);
  auto high = f.Admit("w", 10000, 8);
  running->reset();
  BOOST_TEST(Fixture::Admitted(high));
  BOOST_TEST(!low->has_value());
}

// Guards against dropping the callbacks of waiting requests at shutdown.
BOOST_AUTO_TEST_CASE(shutdown_refuses_waiting_requests) {
  Fixture f(1);
  auto running = f.Admit("w");
  auto waiting = f.Admit("w");
  f.controller.reset();
  BOOST_REQUIRE(waiting->has_value());
  BOOST_TEST(((*waiting)->error().code == ResultCode::kDraining));
}

// Guards against recursion as deep as the queue when callbacks release their ticket immediately.
BOOST_AUTO_TEST_CASE(callbacks_that_release_immediately_do_not_nest) {
  Fixture f(1);
  auto running = f.Admit("w");
  int depth = 0;
  int deepest = 0;
  int answered = 0;
  for (int i = 0; i < 900; ++i) {
    AdmissionRequest request{"w", "service/bookings", 5, f.clock.now + Milliseconds(10000)};
    f.controller->Admit(f.snapshot, request, f.clock.now, [&](auto result) {
      deepest = std::max(deepest, ++depth);
      { const auto dropped = std::move(result); }
      ++answered;
      --depth;
    });
  }
  running->reset();
  BOOST_TEST(answered == 900);
  BOOST_TEST(deepest == 1);
}

// Guards against retries that amplify an overload.
BOOST_AUTO_TEST_CASE(retries_are_a_share_of_first_attempts) {
  Fixture f(10);
  for (int i = 0; i < 200; ++i) {
    f.Admit("w");
  }
  int taken = 0;
  while (f.controller->TakeRetry("service/bookings", f.clock.now)) {
    ++taken;
  }
  BOOST_TEST(taken == 23);  // 10 percent of 200, and the minimum of 3.
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
