// Events that a PipelineSession handles and actions that it asks for.

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

enum class SessionTimer {
  kProgress,  // No token for too long.
  kBackoff,   // Before a selection or a step is tried again.
  kImport,    // The old engine's KV cache did not arrive in time.
  kProbe,     // An engine did not answer a probe in time.
  kRaise,     // A stage did not answer to the raised attempt in time.
};

// Events. `sequence` and `attempt` are those of the request that is answered.
struct SessionStart {};
struct StepDone {
  int stage = 0;
  std::string sequence;
  uint32_t attempt = 0;
  StepResult result;
};
struct StepFailed {
  int stage = 0;
  std::string sequence;
  uint32_t attempt = 0;
  int first_token = 0;
  Error error;
};
struct ReplacementChosen {
  int stage = 0;
  Result<ChainStage> replacement = Error();
};
struct ImportDone {
  int stage = 0;
  std::string sequence;
  uint32_t attempt = 0;
  Result<int> tokens = Error();
};
struct ProbeDone {
  int stage = 0;
  uint32_t probe = 0;  // Number of the probe.
  bool answered = false;
};
struct AttemptRaised {
  int stage = 0;
  uint32_t attempt = 0;
  Result<AttemptReply> reply = Error();
};
struct Timeout {
  SessionTimer timer = SessionTimer::kProgress;
};
struct CallerGone {
  ResultCode code = ResultCode::kCallerGone;
};
using SessionEvent = std::variant<SessionStart, StepDone, StepFailed, ReplacementChosen, ImportDone,
                                  ProbeDone, AttemptRaised, Timeout, CallerGone>;

// What another instance needs to continue a sequence.
struct ResumePoint {
  std::vector<uint32_t> epochs;  // One per stage.
  uint32_t attempt = 1;
  int prompt_tokens = 0;
  // Token ids of the outputs that the engine of the last stage does not hold, from position 0.
  std::vector<uint32_t> outputs;
};

enum class FinishReason { kStop, kLength };

// Actions, in the order in which they take effect.
struct SendStep {
  int stage = 0;
  StepRequest request;
};
struct RaiseAttempt {
  int stage = 0;
  std::string address;
  std::string sequence;
  uint32_t attempt = 0;
};
// Asks whether the stage's engine answers at all.
struct ProbeEngine {
  int stage = 0;
  uint32_t probe = 0;
  std::string address;
};
struct ImportKv {
  int stage = 0;
  std::string address;  // Of the replacement.
  std::string sequence;
  uint32_t attempt = 0;
  std::string source;  // Address of the old engine.
};
struct SelectReplacement {
  int stage = 0;
  LayerRange range;
  std::vector<std::string> excluded;
  std::string previous_domain;
  bool uses_retry_budget = false;  // A further repair before the answer made progress.
};
struct EmitToken {
  int position = 0;  // 0 for the first generated token.
  std::string text;
  bool end = false;
};
struct EmitResumeToken {
  ResumePoint point;
};
struct Cancel {
  std::string address;
  std::string sequence;
  uint32_t attempt = 0;
};
struct Finish {
  FinishReason reason = FinishReason::kStop;
  int prompt_tokens = 0;
  int completion_tokens = 0;
};
struct Fail {
  Error error;
};
struct ArmTimer {
  SessionTimer timer = SessionTimer::kProgress;
  TimePoint at;
};
// The stage is now run by another engine; `old_upstream` no longer holds the sequence.
struct StageReplaced {
  int stage = 0;
  std::string old_upstream;
  std::string new_upstream;
};
// An engine caused a step to be late, as far as is known; other failures show in the steps'
// results.
struct ReportTimeout {
  std::string upstream;
};
// A change for the timeline: "stage_failed", "stage_replaced", "kv_imported", "recomputed".
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
