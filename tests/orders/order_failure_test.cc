// Failure tests of orders, with single and combined failures: an order runs at most once, and the
// caller gets a correct outcome. Where a scenario covers one mechanism, it also runs with that
// mechanism disabled and must then fail.

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "tests/orders/order_simulation.h"

namespace azuregw {
namespace {

using Behaviour = FakeServiceClient::Behaviour;
using Fault = SimStore::Fault;

ResultCode CodeOf(const std::shared_ptr<SimRequest>& request) {
  if (!request->response) {
    return ResultCode::kInternal;
  }
  return *request->response ? ResultCode::kOk : request->response->error().code;
}

BOOST_AUTO_TEST_SUITE(order_failure)

// Guards against a second run after the holder of a claim is killed before the dispatch.
BOOST_AUTO_TEST_CASE(killed_between_claim_and_dispatch) {
  OrderSimulation sim(Variant::kReal, 2);
  (void)sim.Request(0, "k", 5000);
  sim.StepUntilSwapped(0);
  sim.Kill(0);
  const auto early = sim.Request(1, "k");
  sim.Settle();
  BOOST_TEST(CodeOf(early) == ResultCode::kOrderInProgress);
  sim.clock.Advance(5000 + kClaimMarginMs);
  const auto late = sim.Request(1, "k");
  sim.Settle();
  BOOST_TEST(CodeOf(late) == ResultCode::kOrderOutcomeUnknown);
  BOOST_TEST(sim.service.Effects("k") == 0);
  BOOST_TEST(sim.Violations().empty());
}

// Guards against a second run after the holder is killed while the upstream executes the order.
BOOST_AUTO_TEST_CASE(killed_between_dispatch_and_answer) {
  for (const Variant variant : {Variant::kReal, Variant::kLeaseTakeover}) {
    OrderSimulation sim(variant, 2);
    sim.service.Next(Behaviour::kHold);
    (void)sim.Request(0, "k", 5000);
    sim.Settle();
    BOOST_TEST(sim.service.Effects("k") == 1);
    sim.Kill(0);
    sim.service.Release();
    sim.clock.Advance(5000 + kClaimMarginMs);
    const auto retry = sim.Request(1, "k");
    sim.Settle();
    BOOST_TEST(sim.Violations().empty() == (variant == Variant::kReal));
    if (variant == Variant::kReal) {
      BOOST_TEST(CodeOf(retry) == ResultCode::kOrderOutcomeUnknown);
    }
  }
}

// Guards against a second run when a holder is paused after its claim and then resumes.
BOOST_AUTO_TEST_CASE(paused_holder_resumes) {
  for (const Variant variant : {Variant::kReal, Variant::kLeaseTakeover}) {
    OrderSimulation sim(variant, 2);
    const auto first = sim.Request(0, "k", 30000);
    sim.StepUntilSwapped(0);
    sim.clock.Advance(10000);  // Exceeds a lease of 5 s, within the deadline.
    const auto second = sim.Request(1, "k");
    sim.Settle(0);
    sim.Settle();
    BOOST_TEST(sim.Violations().empty() == (variant == Variant::kReal));
    if (variant == Variant::kReal) {
      BOOST_TEST(CodeOf(second) == ResultCode::kOrderInProgress);
      BOOST_TEST(CodeOf(first) == ResultCode::kOk);
    }
  }
}

// Guards against a dispatch after the caller's deadline, and against a key that stays blocked
// although its holder knows that nothing ran.
BOOST_AUTO_TEST_CASE(holder_paused_beyond_its_deadline_frees_the_key) {
  for (const bool expire_first : {true, false}) {
    OrderSimulation sim(Variant::kReal, 2);
    const auto first = sim.Request(0, "k", 5000);
    sim.StepUntilSwapped(0);
    sim.clock.Advance(60000);
    const auto while_paused = sim.Request(1, "k");
    sim.Settle(0);
    BOOST_TEST(CodeOf(while_paused) == ResultCode::kOrderOutcomeUnknown);
    if (expire_first) {
      sim.Tick(0);
    }
    sim.Settle();
    BOOST_REQUIRE(first->response);
    BOOST_TEST((first->response->error().outcome == RunOutcome::kNotRun));
    const auto retry = sim.Request(1, "k");
    sim.Settle();
    BOOST_TEST(CodeOf(retry) == ResultCode::kOk);
    BOOST_TEST(sim.service.Effects("k") == 1);
    BOOST_TEST(sim.Violations().empty());
  }
}

// Guards against losing or repeating orders while the store is unavailable for 20 s: orders with a
// later deadline run afterwards, others are refused as not_run, and outcomes are kept.
BOOST_AUTO_TEST_CASE(store_unavailable_for_20_seconds) {
  OrderSimulation sim(Variant::kReal, 2);
  sim.service.Next(Behaviour::kHold);
  const auto running = sim.Request(0, "running");
  sim.Settle();
  sim.store.SetDown(true);
  const auto patient = sim.Request(0, "patient", 30000);
  const auto impatient = sim.Request(1, "impatient", 5000);
  sim.service.Release();
  for (int i = 0; i < 20; ++i) {
    sim.Settle();
  }
  BOOST_TEST(CodeOf(running) == ResultCode::kOk);
  BOOST_TEST(CodeOf(impatient) == ResultCode::kOrderClaimUnavailable);
  BOOST_TEST((impatient->response->error().outcome == RunOutcome::kNotRun));
  BOOST_TEST(impatient->response->error().retry_after.has_value());
  BOOST_TEST(!patient->response);
  sim.store.SetDown(false);
  sim.Settle();
  BOOST_TEST(CodeOf(patient) == ResultCode::kOk);
  const auto retry = sim.Request(1, "running");
  const auto again = sim.Request(0, "impatient");
  sim.Settle();
  BOOST_REQUIRE(CodeOf(retry) == ResultCode::kOk);
  BOOST_TEST(retry->response->value().replayed);
  BOOST_TEST(CodeOf(again) == ResultCode::kOk);
  BOOST_TEST(sim.Violations().empty());
}

// Guards against several runs when instances receive the same key concurrently.
BOOST_AUTO_TEST_CASE(same_key_at_several_instances) {
  OrderSimulation sim(Variant::kReal, 5);
  std::vector<std::shared_ptr<SimRequest>> requests;
  for (int i = 0; i < 20; ++i) {
    requests.push_back(sim.Request(i % 5, "k"));
  }
  sim.Settle();
  BOOST_TEST(sim.service.Effects("k") == 1);
  for (const auto& request : requests) {
    const ResultCode code = CodeOf(request);
    BOOST_TEST((code == ResultCode::kOk || code == ResultCode::kOrderInProgress));
  }
  BOOST_TEST(sim.Violations().empty());
}

// Guards against overwriting another claim when a swap is retried after its reply was lost.
BOOST_AUTO_TEST_CASE(lost_reply_of_a_swap) {
  for (const Variant variant : {Variant::kReal, Variant::kBlindRetry}) {
    OrderSimulation sim(variant, 2);
    (void)sim.Request(0, "k");
    (void)sim.Request(1, "k");
    // Both instances have read the empty record; a swap request of the first one is lost.
    for (int i = 0; i < 4; ++i) {
      for (int shard = 0; shard < SimForwarder::kShards; ++shard) {
        sim.Step(0, shard);
        sim.Step(1, shard);
      }
    }
    sim.StepUntilSwapped(1);
    sim.store.Next(Fault::kLostRequest);
    sim.Settle();
    BOOST_TEST(sim.Violations().empty() == (variant == Variant::kReal));
  }
}

// Guards against reporting not_run, or a second run, after a dispatch without a reply.
BOOST_AUTO_TEST_CASE(lost_reply_of_a_dispatch) {
  for (const Variant variant : {Variant::kReal, Variant::kNotRunAfterTimeout}) {
    OrderSimulation sim(variant, 2);
    sim.service.Next(Behaviour::kLoseReply);
    const auto first = sim.Request(0, "k");
    sim.Settle();
    const auto retry = sim.Request(1, "k");
    sim.Settle();
    BOOST_TEST(sim.Violations().empty() == (variant == Variant::kReal));
    if (variant == Variant::kReal) {
      BOOST_TEST(CodeOf(first) == ResultCode::kUpstreamTimeout);
      BOOST_TEST(CodeOf(retry) == ResultCode::kOrderOutcomeUnknown);
    }
  }
}

// Guards against a blocked key when a delayed swap makes a refused claim pending.
BOOST_AUTO_TEST_CASE(swap_delayed_beyond_the_deadline) {
  OrderSimulation sim(Variant::kReal, 2);
  sim.store.Next(Fault::kDelayed);
  const auto first = sim.Request(0, "k", 4000);
  for (int i = 0; i < 8; ++i) {
    sim.Step(0, 0);
    sim.Step(0, 1);
  }
  sim.store.SetDown(true);
  sim.clock.Advance(4000);
  sim.Tick(0);
  BOOST_TEST(CodeOf(first) == ResultCode::kOrderClaimUnavailable);
  sim.store.SetDown(false);
  sim.store.DeliverDelayed();
  sim.Settle();
  const auto retry = sim.Request(1, "k");
  sim.Settle();
  BOOST_TEST(CodeOf(retry) == ResultCode::kOk);
  BOOST_TEST(sim.service.Effects("k") == 1);
  BOOST_TEST(sim.Violations().empty());
}

// Runs a random schedule of requests, faults, kills and pauses; returns the violations.
std::vector<std::string> RunRandomSchedule(Variant variant, uint64_t seed) {
  BatcherOptions options;
  options.seal_bytes = 150;  // Small enough to seal each claim soon after it is settled.
  OrderSimulation sim(variant, 3, options);
  const std::unique_ptr<Random> random = MakeRandom(seed);
  int paused = -1;
  for (int event = 0; event < 400; ++event) {
    const int instance = static_cast<int>(random->Below(3));
    switch (random->Below(24)) {
      case 0:
      case 1:
        (void)sim.Request(instance, "k" + std::to_string(random->Below(6)),
                          1000 + static_cast<int64_t>(random->Below(20000)));
        break;
      case 2:
        sim.store.Next(static_cast<Fault>(random->Below(6)));
        break;
      case 3:
        sim.service.Next(static_cast<Behaviour>(random->Below(5)));
        break;
      case 4:
        sim.clock.Advance(static_cast<int64_t>(random->Below(4000)));
        break;
      case 5:
        paused = paused < 0 ? instance : -1;
        break;
      case 6:
        sim.store.DeliverDelayed();
        break;
      case 7:
        sim.service.Release();
        break;
      case 8:
        if (random->Below(4) == 0) {
          sim.Kill(instance);
        }
        break;
      case 9:
        sim.store.SetDown(random->Below(3) == 0);
        break;
      case 10:
        sim.Tick(instance);
        break;
      default:
        if (instance != paused) {
          sim.Step(instance, static_cast<int>(random->Below(SimForwarder::kShards)));
          sim.clock.Advance(2);
        }
    }
  }
  sim.store.SetDown(false);
  sim.store.DeliverDelayed();
  sim.service.Release();
  sim.Settle(-1, 400);
  return sim.Violations();
}

// Returns the number of seeds from 1 to `seeds` whose schedule has violations.
int SeedsWithViolations(Variant variant, int seeds) {
  int count = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const std::vector<std::string> found = RunRandomSchedule(variant, static_cast<uint64_t>(seed));
    count += found.empty() ? 0 : 1;
    if (!found.empty() && variant == Variant::kReal) {
      BOOST_TEST_MESSAGE("seed " << seed << ": " << found[0]);
    }
  }
  return count;
}

// Guards against violations that need a combination or repetition of failures.
BOOST_AUTO_TEST_CASE(random_schedules_have_no_violations) {
  BOOST_TEST(SeedsWithViolations(Variant::kReal, 1500) == 0);
}

// Checks that the schedules detect each disabled mechanism.
BOOST_AUTO_TEST_CASE(random_schedules_detect_disabled_mechanisms) {
  for (const Variant variant :
       {Variant::kLeaseTakeover, Variant::kBlindRetry, Variant::kNotRunAfterTimeout}) {
    const int found = SeedsWithViolations(variant, 300);
    BOOST_TEST_MESSAGE("variant " << static_cast<int>(variant) << ": " << found << " of 300 seeds");
    BOOST_TEST(found > 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw
