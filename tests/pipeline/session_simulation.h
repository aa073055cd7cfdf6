// Deterministic simulation around one PipelineSession: engines with the semantics of
// docs/assumptions.md, a clock, and fault injection.

#ifndef TESTS_PIPELINE_SESSION_SIMULATION_H_
#define TESTS_PIPELINE_SESSION_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/pipeline/pipeline_session.h"
#include "tests/fakes/reference_model.h"

namespace azuregw::testing {

constexpr int kLayersPerStage = 2;

// Kinds of injected faults. "For a while" means Fault::duration_ms.
enum class FaultKind {
  kCrash,           // The engine loses its state and refuses connections for a while.
  kFreeze,          // The engine does not respond for a while, then continues.
  kLeave,           // The engine refuses new sequences for a while, then loses its state.
  kLoseReply,       // The step runs, but its reply is lost.
  kLateReply,       // The step runs, but its reply usually arrives after the step timeout.
  kDuplicate,       // The reply arrives twice.
  kCrashBoth,       // The engines of the stage and of the previous stage crash.
  kFreezePrevious,  // The engine of the previous stage freezes; fetches from it hang.
  kInstanceLoss,    // The instance fails, and another one continues with the last resume token.
};

// One injected fault.
struct Fault {
  int step = 0;  // Number of the SendStep at which the fault is injected, from 1.
  FaultKind kind = FaultKind::kCrash;
  int duration_ms = 0;  // Duration of an outage, or added delay of a late reply.
};

// Size of the simulated fleet and parameters of the request.
struct SimulationOptions {
  int stages = 3;
  int engines_per_stage = 3;
  int max_tokens = 12;
  ActivationTransfer transfer = ActivationTransfer::kHandle;
  // The last stage samples a different token per sequence name, as real engines do, which exposes a
  // response that mixes outputs of several lineages.
  bool random_sampling = false;
  uint64_t seed = 1;
  // Exceeds the duration of any generated series of faults.
  Milliseconds deadline{600000};
};

using SessionFactory = std::function<std::unique_ptr<PipelineSession>(SessionSpec)>;

// Performs the actions of a session against simulated engines and checks the invariants of the
// response and of the engines' work. A lineage is the series of outputs under one sequence name.
class SessionSimulation {
 public:
  SessionSimulation(const SimulationOptions& options, std::vector<Fault> faults,
                    SessionFactory factory);

  // Runs until the response ends or `limit` has passed; returns the violated invariant, or "".
  std::string Run(Milliseconds limit = Milliseconds(1200000));

  int runs() const { return static_cast<int>(m_executed.size()); }
  int repairs() const { return m_repairs; }
  // Returns the longest time between two outputs.
  Milliseconds longest_gap() const { return m_longest_gap; }
  Milliseconds elapsed() const { return std::chrono::duration_cast<Milliseconds>(m_now - m_start); }
  const std::string& text() const { return m_text; }
  const std::optional<Error>& failure() const { return m_failure; }
  int open_sequences() const;

 private:
  // State of a sequence at an engine.
  struct Sequence {
    uint32_t attempt = 0;
    bool moved = false;                    // Exported to another engine.
    std::vector<uint64_t> caches;          // Indexed by layer of the stage.
    std::vector<uint64_t> outputs;         // Indexed by token.
    std::map<int, fakes::Sample> samples;  // Keyed by the number of tokens before the sampled one.
  };
  struct Engine {
    ChainStage stage;
    TimePoint down_until;
    TimePoint frozen_until;
    bool leaving = false;
    std::map<std::string, Sequence> sequences;
  };
  using Task = std::function<void()>;

  void After(Milliseconds delay, Task work);
  void Post(const SessionEvent& event);
  void StartSession(SessionSpec spec);
  SessionSpec BaseSpec();
  void Resume();
  void ReportViolation(const std::string& what);

  void Perform(const SendStep& action);
  void Perform(const RaiseAttempt& action);
  void Perform(const ProbeEngine& action);
  void Perform(const ImportKv& action);
  void Perform(const SelectReplacement& action);
  void Perform(const EmitToken& action);
  void Perform(const EmitResumeToken& action);
  void Perform(const Cancel& action);
  void Perform(const Finish& action);
  void Perform(const Fail& action);
  void Perform(const ArmTimer& action);
  void Perform(const StageReplaced&) {}
  void Perform(const ReportTimeout&) {}
  void Perform(const RecordEvent&) { ++m_repairs; }

  void RecordLineage(int stage, const std::string& sequence);
  std::optional<Fault> TakeFault();
  void InjectFault(const Fault& fault, Engine* engine, int stage);
  void Crash(Engine* engine, int duration_ms);
  void Deliver(const SendStep& action, const std::optional<Fault>& fault);
  Result<StepResult> Execute(Engine* engine, const StepRequest& request);
  std::optional<Error> CheckStep(Engine* engine, const StepRequest& request, int count);
  Result<std::vector<uint64_t>> Inputs(const StepRequest& request);
  void RunTokens(Engine* engine, const StepRequest& request, const std::vector<uint64_t>& inputs);
  StepResult ResultOf(const Sequence& sequence, const StepRequest& request, int count);
  Engine* Find(const std::string& address);
  bool IsResponsive(const Engine& engine) const;
  uint64_t ReferenceValue(int token_count) const;

  const SimulationOptions m_options;
  std::vector<Fault> m_faults;
  const SessionFactory m_factory;
  const std::unique_ptr<Random> m_random;
  const std::string m_prompt = "one two three four five";
  std::map<std::string, Engine> m_engines;  // Keyed by address.
  std::unique_ptr<PipelineSession> m_session;
  int m_session_number = 0;  // Events for an earlier session are discarded.

  const TimePoint m_start = TimePoint() + std::chrono::hours(1);
  TimePoint m_now = m_start;
  std::multimap<TimePoint, Task> m_queue;
  int m_steps = 0;
  // Every (sequence, layer, token) that ran on any engine.
  std::set<std::tuple<std::string, int, int>> m_executed;

  // All sampled texts, keyed by sequence name and number of tokens before the sample; retained when
  // engines crash.
  std::map<std::pair<std::string, int>, std::string> m_sampled;
  std::string m_last_lineage;  // Sequence name of the latest request to the last stage.
  std::optional<ResumePoint> m_resume_token;
  Chain m_resume_chain;
  int m_received_count = 0;  // Number of outputs received, which is the next position.
  std::vector<uint32_t> m_received_tokens;
  std::string m_text;
  int m_repairs = 0;
  bool m_finished = false;
  std::optional<Error> m_failure;
  std::string m_violation;
  TimePoint m_last_output = m_start;
  Milliseconds m_longest_gap{0};
};

}  // namespace azuregw::testing

#endif  // TESTS_PIPELINE_SESSION_SIMULATION_H_
