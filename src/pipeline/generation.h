// Implementation of Generation on top of PipelineSession.

#ifndef AZUREGW_SRC_PIPELINE_GENERATION_H_
#define AZUREGW_SRC_PIPELINE_GENERATION_H_

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "azuregw/engine/timer_queue.h"
#include "azuregw/pipeline/pipeline_runner.h"
#include "azuregw/pipeline/pipeline_session.h"
#include "azuregw/pipeline/resume_token.h"

namespace azuregw {

// Objects shared by all generations of a runner.
struct GenerationContext {
  PipelineDependencies dependencies;
  std::shared_ptr<TimerQueue> timers;
  ResumeTokenCodec codec;
};

// Runs one request: feeds replies, timers and cancellation to its PipelineSession as events and
// performs the returned actions. Kept alive by its pending callbacks. Thread-safe.
class PipelineGeneration : public Generation,
                           public std::enable_shared_from_this<PipelineGeneration> {
 public:
  PipelineGeneration(std::shared_ptr<const GenerationContext> context, GenerationRequest request,
                     SessionSpec spec, uint64_t prompt_hash, std::shared_ptr<AnswerSink> sink);

  // Must be called once, after the object is owned by a shared_ptr.
  void Start();
  void OnCallerGone(ResultCode code) override;

 private:
  // Queues the event. If no other thread is handling events, this one handles them until the queue
  // is empty, so that actions are performed in order and without holding the lock.
  void Post(SessionEvent event);
  void HandleQueuedEvents();
  void HandleEvent(const SessionEvent& event);

  void Perform(SendStep action);
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
  void Perform(const StageReplaced& action);
  void Perform(const ReportTimeout& action);
  void Perform(const RecordEvent& action);

  void OnStepResult(const StepRequest& sent, int stage, const std::string& upstream,
                    TimePoint start, const Result<StepResult>& result);
  // Reports a leaving upstream to the listener, once per request.
  void ReportLeaving(const std::string& upstream);
  // Report the start and end of the stage's sequence to the selector.
  void BeginSequence(int stage, const std::string& upstream);
  void EndSequence(int stage);
  void CleanUp();

  const std::shared_ptr<const GenerationContext> m_context;
  const GenerationRequest m_request;
  const std::string m_sequence_id;
  const uint64_t m_prompt_hash;

  std::mutex m_mutex;
  std::deque<SessionEvent> m_events;         // Guarded by m_mutex.
  bool m_handling_events = false;            // Guarded by m_mutex; a thread is handling events.
  std::set<std::string> m_reported_leaving;  // Guarded by m_mutex; upstreams reported as leaving.

  // The members below are accessed only by the thread that is handling events.
  std::shared_ptr<AnswerSink> m_sink;  // Null once the session has ended.
  PipelineSession m_session;
  std::map<SessionTimer, uint64_t> m_timers;    // ID of the armed timer per kind.
  std::vector<std::string> m_active_upstreams;  // Indexed by stage; empty without an engine.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_PIPELINE_GENERATION_H_
