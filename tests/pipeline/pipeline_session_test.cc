// PipelineSession under failures at every step: each layer runs once per token of a sequence, the
// answer is whole and in order, and late or repeated replies change nothing.

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

// Accepts the answer of any attempt and epoch.
class SessionWithoutReplyCheck : public PipelineSession {
 public:
  using PipelineSession::PipelineSession;

 protected:
  bool IsCurrent(const std::string&, uint32_t) const override { return true; }
};

// Recomputes a range under the name of the sequence that it had before.
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

rc::Gen<Fault> AnyFault(int kinds) {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::step, rc::gen::inRange(1, 60)),
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kinds),
                                [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::duration_ms, rc::gen::inRange(20, 2000)));
}

constexpr int kEngineFaults = static_cast<int>(FaultKind::kInstance);
constexpr int kAllFaults = kEngineFaults + 1;

// Runs `property` on fixed seeds; returns what the first failure printed, or "".
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
        const auto faults = *rc::gen::container<std::vector<Fault>>(AnyFault(kinds));
        SimulationOptions world_options = options;
        world_options.seed = *rc::gen::arbitrary<uint64_t>();
        SessionSimulation world(world_options, faults, factory);
        const std::string violation = world.Run();
        RC_ASSERT(violation == "");
        RC_ASSERT(!world.failure().has_value());
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
  SessionSimulation world(options, faults, factory);
  std::string violation = world.Run();
  if (violation.empty() && world.failure()) {
    violation = "failed: " + world.failure()->message;
  }
  return violation;
}

BOOST_AUTO_TEST_SUITE(pipeline_session)

// Guards against extra or missing work on the straight path: 6 layers, 5 prompt tokens and 11 of
// the 12 outputs run once.
BOOST_AUTO_TEST_CASE(straight_path_runs_each_layer_once) {
  for (const SimulationOptions& options : {SimulationOptions(), Inline()}) {
    SessionSimulation world(options, {}, MakeSession);
    BOOST_TEST(world.Run() == "");
    BOOST_TEST(world.runs() == 6 * (5 + 11));
    BOOST_TEST(world.repairs() == 0);
  }
}

// Guards against a repair that works only at some stages or phases: each single fault at each step.
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

// Guards against a resume that loses, repeats or changes outputs, wherever the instance dies.
BOOST_AUTO_TEST_CASE(instance_dies_at_each_step) {
  for (const SimulationOptions& options :
       {SimulationOptions(), Inline(), RandomSampling(SimulationOptions()),
        RandomSampling(Inline())}) {
    for (int step = 1; step <= 36; ++step) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        SimulationOptions seeded = options;
        seeded.seed = seed;
        const std::string violation = RunWith({{step, FaultKind::kInstance, 0}}, seeded);
        BOOST_TEST(violation == "", "step " << step << " seed " << seed << ": " << violation);
      }
    }
  }
}

// Guards against combinations: several engine faults in one answer, with any sampling.
BOOST_AUTO_TEST_CASE(random_engine_faults) {
  for (const SimulationOptions& options :
       {RandomSampling(SimulationOptions()), RandomSampling(Inline())}) {
    BOOST_TEST(CheckFaults(MakeSession, options, kEngineFaults, 4, 250) == "");
  }
}

// Guards against combinations that include the loss of the instance. Sampling depends on the
// tokens alone, because an answer is sampled again when the last stage is lost with the instance.
BOOST_AUTO_TEST_CASE(random_engine_and_instance_faults) {
  for (const SimulationOptions& options : {SimulationOptions(), Inline()}) {
    BOOST_TEST(CheckFaults(MakeSession, options, kAllFaults, 4, 250) == "");
  }
}

// Guards against a slow recovery, and against a timeout that is blamed on the wrong engine: an
// engine that freezes for good costs one step timeout (200 ms), a probe and some steps.
BOOST_AUTO_TEST_CASE(a_frozen_engine_costs_one_step_timeout) {
  for (const FaultKind kind : {FaultKind::kFreeze, FaultKind::kFreezePrevious}) {
    for (int step = 4; step <= 36; ++step) {
      SessionSimulation world(SimulationOptions(), {{step, kind, 600000}}, MakeSession);
      BOOST_TEST(world.Run() == "");
      BOOST_TEST(world.longest_gap().count() < 2 * 200 + 200, "step " << step);
    }
  }
}

// Guards against repairs that go on for ever, and against a wrong outcome when nothing ran.
BOOST_AUTO_TEST_CASE(failing_engines_end_the_answer_at_its_deadline) {
  for (const int first_step : {1, 20}) {
    SimulationOptions options;
    options.deadline = Milliseconds(5000);
    std::vector<Fault> faults;
    for (int step = first_step; step < 200; ++step) {
      faults.push_back({step, FaultKind::kCrash, 60000});
    }
    SessionSimulation world(options, faults, MakeSession);
    BOOST_TEST(world.Run() == "");
    BOOST_REQUIRE(world.failure().has_value());
    const RunOutcome expected = first_step == 1 ? RunOutcome::kNotRun : RunOutcome::kUnknown;
    BOOST_TEST((world.failure()->outcome == expected));
    BOOST_TEST(world.elapsed().count() <= 5000 + 20 * 20);
  }
}

// Guards against a paused instance that cancels the sequence which another one has continued.
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

// Guards against a check that cannot fail: without the check of attempt and epoch, late replies of
// a stage that was given up enter the answer.
BOOST_AUTO_TEST_CASE(late_replies_break_the_answer_without_the_reply_check) {
  const SessionFactory factory = Make<SessionWithoutReplyCheck>;
  BOOST_TEST(CheckFaults(factory, RandomSampling(SimulationOptions()), kEngineFaults, 4, 250) !=
             "");
}

// Guards against a check that cannot fail: without a new epoch, recomputation runs (sequence,
// layer, token) twice.
BOOST_AUTO_TEST_CASE(recomputation_runs_twice_without_a_new_epoch) {
  const std::vector<Fault> faults = {{10, FaultKind::kCrash, 60000}};
  BOOST_TEST(RunWith(faults) == "");
  const std::string violation = RunWith(faults, SimulationOptions(), Make<SessionWithoutNewEpoch>);
  BOOST_TEST(violation.find("ran twice") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace azuregw::testing
