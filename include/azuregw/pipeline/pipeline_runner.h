// Public interface of pipelined generation: runs each request on a chain of engines and repairs the
// chain when an engine fails.

#ifndef AZUREGW_PIPELINE_PIPELINE_RUNNER_H_
#define AZUREGW_PIPELINE_PIPELINE_RUNNER_H_

#include <memory>
#include <string>

#include "azuregw/admission/admission_controller.h"
#include "azuregw/base/clock.h"
#include "azuregw/base/result.h"
#include "azuregw/control/snapshot.h"
#include "azuregw/engine/engine_client.h"
#include "azuregw/metrics/metrics.h"
#include "azuregw/pipeline/session_events.h"
#include "azuregw/routing/chain_selector.h"
#include "azuregw/timeline/event_recorder.h"

namespace azuregw {

// Receives the output of one request. Calls are serialized and must not block. Exactly one of
// OnFinish and OnFail is called, as the last call, unless Generation::OnCallerGone took effect
// before.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  // Delivers a resume token that replaces the previous one; called before the next OnToken.
  virtual void OnResumeToken(const std::string& token) = 0;
  // Called when a stage was replaced or recomputed. The time until the next token then does not
  // indicate the engines' load.
  virtual void OnRepair() {}
  // Delivers the output at `position`, counted from 0; `end` marks the last one.
  virtual void OnToken(int position, const std::string& text, bool end) = 0;
  virtual void OnFinish(const Finish& finish) = 0;
  virtual void OnFail(const Error& error) = 0;
};

// Request to generate text for one prompt.
struct GenerationRequest {
  std::shared_ptr<const Snapshot> snapshot;  // Must have a preset.
  std::string request_id;
  std::string workspace;
  std::string model;
  std::string prompt;
  int max_tokens = 256;
  int priority = 5;
  TimePoint deadline;             // Latest time of the first token.
  Milliseconds progress_timeout;  // Maximum time between tokens.
  std::string resume_token;       // Empty for a new sequence.
  int last_event_id = -1;         // Highest position received; used with a resume token.
};

// Handle of a request in progress; destroying it does not cancel the request.
class Generation {
 public:
  virtual ~Generation() = default;
  // Cancels the sequence at the engines and ends the request without a further call of the sink.
  // Takes effect after the events queued before it. Thread-safe.
  virtual void OnCallerGone(ResultCode code) = 0;
};

// Starts generations. One runner serves all requests of a process.
class PipelineRunner {
 public:
  virtual ~PipelineRunner() = default;
  // Starts a request on a new chain, or continues the sequence of its resume token. The sink may be
  // called before Start returns. Errors, all with outcome not_run and without a call of the sink:
  // kUnknownModel, kNoChain, kInvalidResumeToken. Thread-safe.
  virtual Result<std::shared_ptr<Generation>> Start(GenerationRequest request,
                                                    std::shared_ptr<AnswerSink> sink) = 0;
};

// Collaborators of a PipelineRunner. The pointers must outlive the runner and all its generations.
struct PipelineDependencies {
  const SnapshotSource* snapshots = nullptr;
  EngineClient* engines = nullptr;
  ChainSelector* selector = nullptr;
  AdmissionController* admission = nullptr;            // Source of the retry budget.
  UpstreamStateListener* upstream_listener = nullptr;  // May be null.
  EventRecorder* events = nullptr;
  Metrics* metrics = nullptr;
  const Clock* clock = nullptr;
  std::string resume_key;  // Signing key of resume tokens, shared by all instances.
};

// Returns a runner that drives one PipelineSession per request.
std::unique_ptr<PipelineRunner> MakePipelineRunner(const PipelineDependencies& dependencies);

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_PIPELINE_RUNNER_H_
