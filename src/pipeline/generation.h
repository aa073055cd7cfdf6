// One request in progress: performs the actions of its PipelineSession.

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

// What the generations of one runner share.
struct GenerationContext {
  PipelineDependencies dependencies;
  std::shared_ptr<TimerQueue> timers;
  ResumeTokenCodec codec;
};

class PipelineGeneration : public Generation,
                           public std::enable_shared_from_this<PipelineGeneration> {
 public:
  PipelineGeneration(std::shared_ptr<const GenerationContext> context, GenerationRequest request,
                     SessionSpec spec, uint64_t prompt_hash, std::shared_ptr<AnswerSink> sink);

  void Start();
  void OnCallerGone(ResultCode code) override;

 private:
  // Queues the event. The thread that finds no other at work handles events until none is left, so
  // that actions are performed in order and without a lock held.
  void Post(SessionEvent event);
  void Drain();
  void HandleOne(const SessionEvent& event);

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
  void NoteLeaving(const std::string& upstream);
  void Occupy(int stage, const std::string& upstream);
  void Release(int stage);
  void CleanUp();

  const std::shared_ptr<const GenerationContext> m_context;
  const GenerationRequest m_request;
  const std::string m_sequence_id;
  const uint64_t m_prompt_hash;

  std::mutex m_mutex;
  std::deque<SessionEvent> m_events;      // Guarded by m_mutex.
  bool m_draining = false;                // Guarded by m_mutex; a thread handles events.
  std::set<std::string> m_leaving_noted;  // Guarded by m_mutex; upstreams reported as leaving.

  // Touched only by the thread that handles events.
  std::shared_ptr<AnswerSink> m_sink;  // Null after the end.
  PipelineSession m_session;
  std::map<SessionTimer, uint64_t> m_timers;
  std::vector<std::string> m_occupied;  // Upstream per stage; empty: none.
};

}  // namespace azuregw

#endif  // AZUREGW_SRC_PIPELINE_GENERATION_H_
