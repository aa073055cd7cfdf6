// One sequence through a chain of engines: prefill, decode, repair of stages and resume.
//
// A deterministic state machine: Handle takes one event and returns the actions to perform. Stage i
// may run the tokens [done, target) once every stage before it has reached `target`, the prompt
// plus the known outputs. The next step always belongs to the first stage that is behind, so a
// repair only has to reset a stage: recomputation from the last surviving boundary follows.

#ifndef AZUREGW_PIPELINE_PIPELINE_SESSION_H_
#define AZUREGW_PIPELINE_PIPELINE_SESSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azuregw/pipeline/session_events.h"

namespace azuregw {

struct SessionSpec {
  std::string sequence_id;  // Unique over all instances; the part of sequence names before '.'.
  std::string model;
  Chain chain;  // A stage with an empty address is lost and is replaced at once.
  ActivationTransfer transfer = ActivationTransfer::kHandle;
  std::string prompt;
  int max_tokens = 256;
  int priority = 5;
  Milliseconds step_timeout{2000};
  TimePoint deadline;                    // Of the first token.
  Milliseconds progress_timeout{30000};  // Between two tokens, repairs included.
  std::optional<ResumePoint> resume;     // Set: continue a sequence of another instance.
  int last_event_id = -1;                // Highest position that the caller has received.
  // First epoch for recomputed ranges. Instances that continue the same sequence must differ here,
  // else two lineages could share a name.
  uint32_t epoch_base = 1;
};

// Not thread-safe; the owner serialises calls.
class PipelineSession {
 public:
  explicit PipelineSession(SessionSpec spec);
  virtual ~PipelineSession() = default;
  PipelineSession(const PipelineSession&) = delete;
  PipelineSession& operator=(const PipelineSession&) = delete;

  // Events that no longer concern the session are discarded and cause no action.
  std::vector<SessionAction> Handle(const SessionEvent& event, TimePoint now);

  bool Ended() const { return m_phase == Phase::kEnded; }
  // The chain with its replacements.
  Chain CurrentChain() const;
  // Repairs so far; they end with the deadline.
  int Repairs() const { return m_repairs; }

 protected:
  // Whether an answer belongs to the step in flight; late answers of a stage that was given up
  // carry an older epoch (in the sequence name) or attempt.
  virtual bool IsCurrent(const std::string& sequence, uint32_t attempt) const;
  // Epoch of a range that is recomputed.
  virtual uint32_t NextEpoch() { return m_next_epoch++; }

 private:
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

  struct Stage {
    ChainStage engine;
    uint32_t epoch = 0;
    int done = 0;  // Tokens run in this epoch, without gaps from 0.
    // Inline transfer: outputs for the tokens [retained_from, done).
    int retained_from = 0;
    std::vector<std::string> retained;
    std::vector<std::string> excluded;  // Engines that failed this range.
  };
  struct InFlight {
    int stage = 0;
    std::string sequence;
    uint32_t attempt = 0;
    int first_token = 0;
    bool fetches = false;  // The engine gets its input from that of the previous stage.
  };
  // Of the engines that may have caused a timeout: that of the stage and that of the previous one.
  struct Probe {
    uint32_t number = 0;
    int stage = 0;
    bool asks_previous = false;
    bool stage_answered = false;
    bool previous_answered = false;
  };
  struct Repair {
    int stage = 0;
    RepairKind kind = RepairKind::kRecompute;
    ChainStage replacement;  // Meaningful in kImporting.
  };
  struct Raise {
    uint32_t attempt = 0;
    uint32_t increment = 1;
    bool answered = false;
    std::optional<AttemptReply> reply;  // Empty: the stage is lost.
  };

  // One handler per event.
  void On(const SessionStart& event);
  void On(const StepDone& event);
  void On(const StepFailed& event);
  void On(const ReplacementChosen& event);
  void On(const ImportDone& event);
  void On(const ProbeDone& event);
  void On(const AttemptRaised& event);
  void On(const Timeout& event);
  void On(const CallerGone& event);

  // Straight path (pipeline_session.cc).
  std::string SequenceName(const Stage& stage) const;
  int Target() const;
  void Advance();
  void SendStepTo(int index);
  StepInput InputFor(int index, int first, int count) const;
  bool AcceptResult(const StepDone& event);
  void AcceptOutput(const StepResult& result);
  void EmitFrom(int position, const std::string& text, bool end);
  void CheckProgress();
  void End(bool cancel);
  void FailWith(Error error, bool cancel);
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
  void OnBackoffOver();
  void AdoptReplacement();
  void Recompute(int index, const ChainStage& engine);
  void RepeatStep();
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
  std::vector<SessionAction> m_actions;  // Of the event being handled.

  uint32_t m_attempt = 1;                 // Never decreases.
  uint32_t m_next_epoch;                  // Above every epoch in use.
  int m_prompt_tokens = -1;               // -1 until the first stage has counted them.
  std::vector<SequenceOutput> m_outputs;  // By position, from 0.
  size_t m_outputs_base = 0;  // Outputs before this one are unknown to the last stage's engine.
  InFlight m_in_flight;       // Meaningful in kStepping.
  Probe m_probe;              // Meaningful in kProbing.
  Repair m_repair;            // Meaningful in kSelecting, kImporting and kBackoff.
  bool m_backoff_selects = false;  // What follows kBackoff: a selection, else the same step.
  std::vector<Raise> m_raises;     // Meaningful in kRaising; one per stage.

  bool m_may_have_run = false;  // An engine ran a step, or may have.
  bool m_token_due = true;      // A resume token is sent before the next output.
  int m_repairs = 0;
  int m_repairs_in_row = 0;  // Since the last output.
  int m_timeouts = 0;        // Since the last output, with all engines answering probes.
  int m_fetch_failures = 0;  // Since the last output.
  int m_waits_in_row = 0;    // Since the last output.
  Error m_last_error;
  TimePoint m_progress_deadline;
};

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_PIPELINE_SESSION_H_
