// Events that a PipelineSession handles and actions that it returns.

#ifndef AZUREGW_PIPELINE_SESSION_EVENTS_H_
#define AZUREGW_PIPELINE_SESSION_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/routing/chain.h"

namespace azuregw {

// Timers of a session; at most one of each kind is armed.
enum class SessionTimer {
  kProgress,  // Limits the time until the next token.
  kBackoff,   // Delays the retry of a selection or a step.
  kImport,    // Limits the transfer of the old engine's KV cache.
  kProbe,     // Limits the replies to a liveness probe.
  kRaise,     // Limits the replies to raised attempts.
};

// Events. `sequence` and `attempt` are copied from the request to which the event is the reply.

// First event of every session.
struct SessionStart {};
// Success reply to SendStep.
struct StepDone {
  int stage = 0;
  std::string sequence;
  uint32_t attempt = 0;
  StepResult result;
};
// Failure of SendStep, including a timeout of the engine client.
struct StepFailed {
  int stage = 0;
  std::string sequence;
  uint32_t attempt = 0;
  int first_token = 0;
  Error error;
};
// Reply to SelectReplacement.
struct ReplacementChosen {
  int stage = 0;
  Result<ChainStage> replacement = Error();
};
// Reply to ImportKv; `tokens` is the length of the imported sequence.
struct ImportDone {
  int stage = 0;
  std::string sequence;
  uint32_t attempt = 0;
  Result<int> tokens = Error();
};
// Reply to ProbeEngine.
struct ProbeDone {
  int stage = 0;
  uint32_t probe = 0;  // Copied from the ProbeEngine action.
  bool answered = false;
};
// Reply to RaiseAttempt.
struct AttemptRaised {
  int stage = 0;
  uint32_t attempt = 0;
  Result<AttemptReply> reply = Error();
};
// Expiry of a timer set by ArmTimer.
struct Timeout {
  SessionTimer timer = SessionTimer::kProgress;
};
// The caller no longer reads the response.
struct CallerGone {
  ResultCode code = ResultCode::kCallerGone;
};
using SessionEvent = std::variant<SessionStart, StepDone, StepFailed, ReplacementChosen, ImportDone,
                                  ProbeDone, AttemptRaised, Timeout, CallerGone>;

// State that another instance needs to continue a sequence.
struct ResumePoint {
  std::vector<uint32_t> epochs;  // One per stage.
  uint32_t attempt = 1;
  int prompt_tokens = 0;
  // Token IDs of the outputs, from position 0, that the last stage's engine does not hold.
  std::vector<uint32_t> outputs;
};

// Reason for a successful end: the model's end token or the token limit.
enum class FinishReason { kStop, kLength };

// Actions. They must be performed in the order in which Handle returns them.

// Runs a step on the stage's engine.
struct SendStep {
  int stage = 0;
  StepRequest request;
};
// Raises the attempt number of a sequence, so that the engine rejects lower ones as stale.
struct RaiseAttempt {
  int stage = 0;
  std::string address;
  std::string sequence;
  uint32_t attempt = 0;
};
// Checks whether the stage's engine responds.
struct ProbeEngine {
  int stage = 0;
  uint32_t probe = 0;
  std::string address;
};
// Copies the KV cache of a sequence from the old engine to its replacement.
struct ImportKv {
  int stage = 0;
  std::string address;  // Address of the replacement.
  std::string sequence;
  uint32_t attempt = 0;
  std::string source;  // Address of the old engine.
};
// Selects an engine for the layers of a stage.
struct SelectReplacement {
  int stage = 0;
  LayerRange range;
  std::vector<std::string> excluded;  // Upstreams that must not be selected.
  std::string previous_domain;        // Failure domain of the previous stage; empty for the first.
  bool uses_retry_budget = false;     // A repeated repair without an output in between.
};
// Delivers an output to the caller.
struct EmitToken {
  int position = 0;  // 0 for the first generated token.
  std::string text;
  bool end = false;
};
// Delivers a resume token to the caller.
struct EmitResumeToken {
  ResumePoint point;
};
// Releases a sequence at an engine, unless the engine holds a higher attempt.
struct Cancel {
  std::string address;
  std::string sequence;
  uint32_t attempt = 0;
};
// Ends the response successfully.
struct Finish {
  FinishReason reason = FinishReason::kStop;
  int prompt_tokens = 0;
  int completion_tokens = 0;
};
// Ends the response with an error.
struct Fail {
  Error error;
};
// Sets a timer; replaces an armed one of the same kind.
struct ArmTimer {
  SessionTimer timer = SessionTimer::kProgress;
  TimePoint at;
};
// Reports that another engine now runs the stage and `old_upstream` no longer holds the sequence.
struct StageReplaced {
  int stage = 0;
  std::string old_upstream;
  std::string new_upstream;
};
// Reports the engine that presumably caused a step timeout. Other failures are attributed by the
// step results.
struct ReportTimeout {
  std::string upstream;
};
// Records an event in the timeline: "stage_failed", "stage_replaced", "kv_imported" or
// "recomputed".
struct RecordEvent {
  const char* event = "";
  std::string upstream;
  ResultCode code = ResultCode::kOk;
};
using SessionAction = std::variant<SendStep, RaiseAttempt, ProbeEngine, ImportKv, SelectReplacement,
                                   EmitToken, EmitResumeToken, Cancel, Finish, Fail, ArmTimer,
                                   StageReplaced, ReportTimeout, RecordEvent>;

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_SESSION_EVENTS_H_
