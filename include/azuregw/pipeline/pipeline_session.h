// State machine of one sequence on a chain of engines: prefill, decode, stage repair and resume.
//
// Stage i may run the tokens [done, target) once every stage before it has reached `target`, the
// number of prompt tokens plus known outputs. The next step always belongs to the first stage below
// `target`, so a repair only has to reset a stage; recomputation from the last surviving stage
// boundary follows.

#ifndef AZUREGW_PIPELINE_PIPELINE_SESSION_H_
#define AZUREGW_PIPELINE_PIPELINE_SESSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/pipeline/session_events.h"

namespace azuregw {

// Parameters of a session.
struct SessionSpec {
  // Unique across all instances; the sequence names are "<sequence_id>.<epoch>".
  std::string sequence_id;
  std::string model;
  Chain chain;  // A stage with an empty address has no engine and is replaced on its first step.
  ActivationTransfer transfer = ActivationTransfer::kHandle;
  std::string prompt;
  int max_tokens = 256;
  int priority = 5;
  Milliseconds step_timeout{2000};
  TimePoint deadline;                    // Latest time of the first token.
  Milliseconds progress_timeout{30000};  // Maximum time between tokens, including repairs.
  std::optional<ResumePoint> resume;     // Set to continue a sequence of another instance.
  int last_event_id = -1;                // Highest position that the caller has received.
  // First epoch of recomputed ranges. Must differ between instances that continue the same
  // sequence, or two different computations could share a sequence name.
  uint32_t epoch_base = 1;
};

// Deterministic state machine without I/O: Handle takes one event and returns the actions that the
// owner must perform. Not thread-safe; the owner serializes calls.
class PipelineSession {
 public:
  explicit PipelineSession(SessionSpec spec);
  virtual ~PipelineSession() = default;
  PipelineSession(const PipelineSession&) = delete;
  PipelineSession& operator=(const PipelineSession&) = delete;

  // Applies an event and returns the resulting actions, in order. Stale events return none.
  std::vector<SessionAction> Handle(const SessionEvent& event, TimePoint now);

  bool Ended() const { return m_phase == Phase::kEnded; }
  // Returns the chain with all replacements so far.
  Chain CurrentChain() const;
  // Returns the number of repairs so far, which only the deadline limits.
  int Repairs() const { return m_repairs; }

 protected:
  // Returns whether a reply belongs to the request in flight. A late reply from a replaced or
  // retried stage carries an older epoch (in the sequence name) or attempt. Virtual for tests only.
  virtual bool IsCurrent(const std::string& sequence, uint32_t attempt) const;
  // Returns a new epoch for a range that is recomputed. Virtual for tests only.
  virtual uint32_t NextEpoch() { return m_next_epoch++; }

 private:
  // Event that the session waits for.
  enum class Phase {
    kNew,
    kRaising,
    kStepping,
    kProbing,
    kSelecting,
    kImporting,
    kBackoff,
    kEnded
  };
  enum class RepairKind { kImport, kRecompute };

  // Progress of one stage.
  struct Stage {
    ChainStage engine;
    uint32_t epoch = 0;
    int done = 0;           // Tokens run in this epoch, contiguous from 0.
    int retained_from = 0;  // First token of `retained`.
    // Activations of the tokens [retained_from, done); inline transfer only.
    std::vector<std::string> retained;
    std::vector<std::string> excluded;  // Upstreams that failed this range.
  };
  // Request whose reply is expected.
  struct InFlight {
    int stage = 0;
    std::string sequence;
    uint32_t attempt = 0;
    int first_token = 0;
    bool fetches_input = false;  // The engine fetches its input from the previous stage.
  };
  // Liveness probe of the engines that may have caused a timeout: the stage's own and, if it
  // fetches its input, that of the previous stage.
  struct Probe {
    uint32_t number = 0;
    int stage = 0;
    bool probes_previous = false;
    bool stage_answered = false;
    bool previous_answered = false;
  };
  // Repair in progress.
  struct Repair {
    int stage = 0;
    RepairKind kind = RepairKind::kRecompute;
    ChainStage replacement;  // Meaningful in kImporting.
  };
  // Request to one stage to raise its attempt number, which fences out the previous instance.
  struct Raise {
    uint32_t attempt = 0;
    uint32_t increment = 1;
    bool answered = false;
    std::optional<AttemptReply> reply;  // Empty if the stage is lost.
  };

  // Event handlers.
  void On(const SessionStart& event);
  void On(const StepDone& event);
  void On(const StepFailed& event);
  void On(const ReplacementChosen& event);
  void On(const ImportDone& event);
  void On(const ProbeDone& event);
  void On(const AttemptRaised& event);
  void On(const Timeout& event);
  void On(const CallerGone& event);

  // Execution without failures (pipeline_session.cc).
  std::string SequenceName(const Stage& stage) const;
  int Target() const;
  void Advance();
  void SendStepTo(int index);
  StepInput InputFor(int index, int first, int count) const;
  bool AcceptResult(const StepDone& event);
  void AcceptOutput(const StepResult& result);
  void EmitOutput(int position, const std::string& text, bool end);
  void CheckProgress();
  void End(bool cancel);
  void EndWithError(Error error, bool cancel);
  void Add(SessionAction action) { m_actions.push_back(std::move(action)); }

  // Repair (session_repair.cc).
  void HandleStepFailure(int index, const Error& error);
  void BeginRepair(int index, RepairKind kind, const Error& error);
  void RenewUnansweredSequence(int index, const Error& error);
  void BeginProbe(int index);
  void FinishProbe();
  void RepairAfterTimeout(int index, RepairKind kind);
  void CountRepair();
  void Select();
  void WaitBeforeRetry(bool select);
  void OnBackoffExpired();
  void AdoptReplacement();
  void Recompute(int index, const ChainStage& engine);
  void RetryStep();
  void RecordReplacement(int index, const std::string& old_upstream, const char* kind);

  // Resume (session_resume.cc).
  void RaiseAll();
  void SendRaise(int index);
  void FinishRaise();
  bool RestoreOutputs(const AttemptReply& last_reply);
  void RestoreStage(int index, bool usable);
  bool ReplayOutputs();
  ResumePoint MakeResumePoint() const;

  const SessionSpec m_spec;
  std::vector<Stage> m_stages;
  Phase m_phase = Phase::kNew;
  TimePoint m_now;
  std::vector<SessionAction> m_actions;  // Result of the event being handled.

  uint32_t m_attempt = 1;                 // Monotonic.
  uint32_t m_next_epoch;                  // Exceeds every epoch in use.
  int m_prompt_tokens = -1;               // -1 until the first stage has counted them.
  std::vector<SequenceOutput> m_outputs;  // Indexed by position, from 0.
  // The last stage's engine does not hold the outputs before this index.
  size_t m_outputs_base = 0;
  InFlight m_in_flight;                 // Meaningful in kStepping.
  Probe m_probe;                        // Meaningful in kProbing.
  Repair m_repair;                      // Meaningful in kSelecting, kImporting and kBackoff.
  bool m_select_after_backoff = false;  // kBackoff is followed by a selection, else by a retry.
  std::vector<Raise> m_raises;          // Meaningful in kRaising; one entry per stage.

  bool m_may_have_run = false;     // An engine may have run a step.
  bool m_resume_token_due = true;  // Emit a resume token before the next output.
  int m_repairs = 0;
  int m_consecutive_repairs = 0;  // Since the last output.
  // Timeouts since the last output after which all engines answered the probe.
  int m_timeouts = 0;
  int m_fetch_failures = 0;     // Since the last output.
  int m_consecutive_waits = 0;  // Since the last output.
  Error m_last_error;
  TimePoint m_progress_deadline;
};

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_PIPELINE_SESSION_H_
