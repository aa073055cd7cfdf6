// PipelineSession with faults at every step: each layer runs once per token of a sequence, the
// response is complete and in order, and late or duplicate replies have no effect.

#include "azuregw/pipeline/pipeline_session.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include "tests/pipeline/session_simulation.h"

namespace azuregw::testing {

std::ostream& operator<<(std::ostream& stream, const Fault& fault) {
  return stream << "{step " << fault.step << ", kind " << static_cast<int>(fault.kind) << ", "
                << fault.duration_ms << " ms}";
}

namespace {

std::unique_ptr<PipelineSession> MakeSession(SessionSpec spec) {
  return std::make_unique<PipelineSession>(std::move(spec));
}

// Accepts replies of any attempt and epoch.
class SessionWithoutReplyCheck : public PipelineSession {
 public:
  using PipelineSession::PipelineSession;

 protected:
  bool IsCurrent(const std::string&, uint32_t) const override { return true; }
};

// Recomputes a range under the previous sequence name.
class SessionWithoutNewEpoch : public PipelineSession {
 public:
  using PipelineSession::PipelineSession;

 protected:
  uint32_t NextEpoch() override { return 0; }
};

template <class Session>
std::unique_ptr<PipelineSession> Make(SessionSpec spec) {
  return std::make_unique<Session>(std::move(spec));
}

rc::Gen<Fault> ArbitraryFault(int kinds) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::step, rc::gen::inRange(1, 60)),
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kinds),
                                [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::duration_ms, rc::gen::inRange(20, 2000)));
}

constexpr int kEngineFaults = static_cast<int>(FaultKind::kInstanceLoss);
constexpr int kAllFaults = kEngineFaults + 1;

// Checks `property` with fixed seeds; returns the message of the first failure, or "".
template <class Property>
std::string CheckFixedSeeds(Property property, int seeds, int cases) {
  for (int seed = 1; seed <= seeds; ++seed) {
    rc::detail::TestParams params;
    params.seed = static_cast<uint64_t>(seed);
    params.maxSuccess = cases;
    rc::detail::TestMetadata metadata;
    metadata.id = "session";
    std::ostringstream discarded;
    const rc::detail::TestResult result = rc::detail::checkTestable(property, metadata, params);
    if (!result.is<rc::detail::SuccessResult>()) {
      std::ostringstream text;
      text << "seed " << seed << ": ";
      rc::detail::printResultMessage(result, text);
      return text.str();
    }
  }
  return "";
}

std::string CheckFaults(const SessionFactory& factory, SimulationOptions options, int kinds,
                        int seeds, int cases) {
  return CheckFixedSeeds(
      [factory, options, kinds] {
        const auto faults = *rc::gen::container<std::vector<Fault>>(ArbitraryFault(kinds));
        SimulationOptions simulation_options = options;
        simulation_options.seed = *rc::gen::arbitrary<uint64_t>();
        SessionSimulation simulation(simulation_options, faults, factory);
        const std::string violation = simulation.Run();
        RC_ASSERT(violation == "");
        RC_ASSERT(!simulation.failure().has_value());
      },
      seeds, cases);
}

SimulationOptions Inline() {
  SimulationOptions options;
  options.transfer = ActivationTransfer::kInline;
  return options;
}

SimulationOptions RandomSampling(SimulationOptions options) {
  options.random_sampling = true;
  return options;
}

std::string RunWith(const std::vector<Fault>& faults,
                    SimulationOptions options = SimulationOptions(),
                    const SessionFactory& factory = MakeSession) {
  SessionSimulation simulation(options, faults, factory);
  std::string violation = simulation.Run();
  if (violation.empty() && simulation.failure()) {
    violation = "failed: " + simulation.failure()->message;
  }
  return violation;
}

BOOST_AUTO_TEST_SUITE(pipeline_session)

// Guards against repeated or missing layer runs without faults: 6 layers run 5 prompt tokens and 11
// of the 12 outputs once.
BOOST_AUTO_TEST_CASE(fault_free_run_executes_each_layer_once) {
  for (const SimulationOptions& options : {SimulationOptions(), Inline()}) {
    SessionSimulation simulation(options, {}, MakeSession);
    BOOST_TEST(simulation.Run() == "");
    BOOST_TEST(simulation.runs() == 6 * (5 + 11));
    BOOST_TEST(simulation.repairs() == 0);
  }
}

// Guards against a repair that works only at some stages or phases, by injecting each kind of fault
// at each step.
BOOST_AUTO_TEST_CASE(each_fault_at_each_step) {
  for (const SimulationOptions& options :
       {SimulationOptions(), Inline(), RandomSampling(SimulationOptions()),
        RandomSampling(Inline())}) {
    for (int kind = 0; kind < kEngineFaults; ++kind) {
      for (int step = 1; step <= 36; ++step) {
        const Fault fault{step, static_cast<FaultKind>(kind), 300};
        const std::string violation = RunWith({fault}, options);
        BOOST_TEST(violation == "", "step " << step << " kind " << kind << ": " << violation);
      }
    }
  }
}

// Guards against a resume that loses, repeats or changes outputs, by an instance failure at each
// step.
BOOST_AUTO_TEST_CASE(instance_dies_at_each_step) {
  for (const SimulationOptions& options :
       {SimulationOptions(), Inline(), RandomSampling(SimulationOptions()),
        RandomSampling(Inline())}) {
    for (int step = 1; step <= 36; ++step) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        SimulationOptions seeded = options;
        seeded.seed = seed;
        const std::string violation = RunWith({{step, FaultKind::kInstanceLoss, 0}}, seeded);
        BOOST_TEST(violation == "", "step " << step << " seed " << seed << ": " << violation);
      }
    }
  }
}

// Guards against repairs that fail when several engine faults hit one response, with random
// sampling.
BOOST_AUTO_TEST_CASE(random_engine_faults) {
  for (const SimulationOptions& options :
       {RandomSampling(SimulationOptions()), RandomSampling(Inline())}) {
    BOOST_TEST(CheckFaults(MakeSession, options, kEngineFaults, 4, 250) == "");
  }
}

// Guards against repairs that fail when engine faults and instance failures combine. Sampling
// depends on the tokens only, because outputs are sampled again if the last stage is lost with the
// instance.
BOOST_AUTO_TEST_CASE(random_engine_and_instance_faults) {
  for (const SimulationOptions& options : {SimulationOptions(), Inline()}) {
    BOOST_TEST(CheckFaults(MakeSession, options, kAllFaults, 4, 250) == "");
  }
}

// Guards against slow recovery and against attributing a timeout to the wrong engine: an engine
// that freezes permanently costs one step timeout (200 ms), a probe and a few steps.
BOOST_AUTO_TEST_CASE(a_frozen_engine_costs_one_step_timeout) {
  for (const FaultKind kind : {FaultKind::kFreeze, FaultKind::kFreezePrevious}) {
    for (int step = 4; step <= 36; ++step) {
      SessionSimulation simulation(SimulationOptions(), {{step, kind, 600000}}, MakeSession);
      BOOST_TEST(simulation.Run() == "");
      BOOST_TEST(simulation.longest_gap().count() < 2 * 200 + 200, "step " << step);
    }
  }
}

// Guards against repairs without end, and against a wrong outcome if no step ran.
BOOST_AUTO_TEST_CASE(failing_engines_end_the_response_at_its_deadline) {
  for (const int first_step : {1, 20}) {
    SimulationOptions options;
    options.deadline = Milliseconds(5000);
    std::vector<Fault> faults;
    for (int step = first_step; step < 200; ++step) {
      faults.push_back({step, FaultKind::kCrash, 60000});
    }
    SessionSimulation simulation(options, faults, MakeSession);
    BOOST_TEST(simulation.Run() == "");
    BOOST_REQUIRE(simulation.failure().has_value());
    const RunOutcome expected = first_step == 1 ? RunOutcome::kNotRun : RunOutcome::kUnknown;
    BOOST_TEST((simulation.failure()->outcome == expected));
    BOOST_TEST(simulation.elapsed().count() <= 5000 + 20 * 20);
  }
}

// Guards against a paused instance that cancels a sequence after another instance has resumed it.
BOOST_AUTO_TEST_CASE(a_stale_attempt_ends_the_session_without_cancelling) {
  SessionSpec spec;
  spec.sequence_id = "r1";
  spec.chain.stages = {{"a", "127.0.0.1:1", {0, 2}, "fd-a"}};
  PipelineSession session(spec);
  session.Handle(SessionStart{}, TimePoint());
  const auto actions = session.Handle(
      StepFailed{0, "r1.0", 1, 0, NotRun(ResultCode::kStaleAttempt, "stale_attempt")}, TimePoint());
  BOOST_TEST(session.Ended());
  for (const SessionAction& action : actions) {
    BOOST_TEST(!std::holds_alternative<Cancel>(action));
  }
}

// Guards against a test that cannot fail: without the check of attempt and epoch, late replies of a
// replaced stage corrupt the response.
BOOST_AUTO_TEST_CASE(late_replies_break_the_answer_without_the_reply_check) {
  const SessionFactory factory = Make<SessionWithoutReplyCheck>;
  BOOST_TEST(CheckFaults(factory, RandomSampling(SimulationOptions()), kEngineFaults, 4, 250) !=
             "");
}

// Guards against a test that cannot fail: without a new epoch, recomputation runs the same
// (sequence, layer, token) twice.
BOOST_AUTO_TEST_CASE(recomputation_runs_twice_without_a_new_epoch) {
  const std::vector<Fault> faults = {{10, FaultKind::kCrash, 60000}};
  BOOST_TEST(RunWith(faults) == "");
  const std::string violation = RunWith(faults, SimulationOptions(), Make<SessionWithoutNewEpoch>);
  BOOST_TEST(violation.find("ran twice") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
