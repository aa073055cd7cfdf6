// Runs sequences through chains: drives one PipelineSession per request with the engine client, the
// chain selector and timers.

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

// Receives one answer. Calls are serialised and must not block. Exactly one of OnFinish and OnFail
// ends the answer, unless the caller's departure was reported first.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  // Replaces the token that the caller holds; precedes the next OnToken.
  virtual void OnResumeToken(const std::string& token) = 0;
  // A stage was replaced or recomputed; the time until the next token is no sign of load.
  virtual void OnRepair() {}
  virtual void OnToken(int position, const std::string& text, bool end) = 0;
  virtual void OnFinish(const Finish& finish) = 0;
  virtual void OnFail(const Error& error) = 0;
};

struct GenerationRequest {
  std::shared_ptr<const Snapshot> snapshot;  // With a preset.
  std::string request_id;
  std::string workspace;
  std::string model;
  std::string prompt;
  int max_tokens = 256;
  int priority = 5;
  TimePoint deadline;             // Of the first token.
  Milliseconds progress_timeout;  // Between two tokens.
  std::string resume_token;       // Empty: a new sequence.
  int last_event_id = -1;         // With a resume token: highest position received.
};

// A request in progress; it continues when the handle is dropped.
class Generation {
 public:
  virtual ~Generation() = default;
  // Ends the sequence at the engines; the sink is not called any more. Thread-safe.
  virtual void OnCallerGone(ResultCode code) = 0;
};

class PipelineRunner {
 public:
  virtual ~PipelineRunner() = default;
  // Thread-safe. The sink may be called before Start returns. Errors, all not_run and without a
  // call of the sink: kUnknownModel, kNoChain, kInvalidResumeToken.
  virtual Result<std::shared_ptr<Generation>> Start(GenerationRequest request,
                                                    std::shared_ptr<AnswerSink> sink) = 0;
};

// The pointers outlive the runner and all its generations.
struct PipelineDependencies {
  const SnapshotSource* snapshots = nullptr;
  EngineClient* engines = nullptr;
  ChainSelector* selector = nullptr;
  AdmissionController* admission = nullptr;            // For the retry budget.
  UpstreamStateListener* upstream_listener = nullptr;  // May be null.
  EventRecorder* events = nullptr;
  Metrics* metrics = nullptr;
  const Clock* clock = nullptr;
  std::string resume_key;  // Shared by all instances.
};

std::unique_ptr<PipelineRunner> MakePipelineRunner(const PipelineDependencies& dependencies);

}  // namespace azuregw

#endif  // AZUREGW_PIPELINE_PIPELINE_RUNNER_H_
