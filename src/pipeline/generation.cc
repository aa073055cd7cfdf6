// Event loop of a request and the actions of its session.

#include "pipeline/generation.h"

#include <algorithm>
#include <utility>

namespace azuregw {

PipelineGeneration::PipelineGeneration(std::shared_ptr<const GenerationContext> context,
                                       GenerationRequest request, SessionSpec spec,
                                       uint64_t prompt_hash, std::shared_ptr<AnswerSink> sink)
    : m_context(std::move(context)),
      m_request(std::move(request)),
      m_sequence_id(spec.sequence_id),
      m_prompt_hash(prompt_hash),
      m_sink(std::move(sink)),
      m_session(std::move(spec)) {}

void PipelineGeneration::Start() {
  const Chain chain = m_session.CurrentChain();
  m_active_upstreams.resize(chain.stages.size());
  for (size_t i = 0; i < chain.stages.size(); ++i) {
    if (!chain.stages[i].address.empty()) {
      BeginSequence(static_cast<int>(i), chain.stages[i].upstream);
    }
  }
  Post(SessionStart{});
}

void PipelineGeneration::OnCallerGone(ResultCode code) { Post(CallerGone{code}); }

void PipelineGeneration::Post(SessionEvent event) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_events.push_back(std::move(event));
    if (m_handling_events) {
      return;
    }
    m_handling_events = true;
  }
  HandleQueuedEvents();
}

void PipelineGeneration::HandleQueuedEvents() {
  const auto self = shared_from_this();  // An action may release the last other reference.
  while (true) {
    SessionEvent event;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (m_events.empty()) {
        m_handling_events = false;
        return;
      }
      event = std::move(m_events.front());
      m_events.pop_front();
    }
    HandleEvent(event);
  }
}

void PipelineGeneration::HandleEvent(const SessionEvent& event) {
  if (m_session.Ended()) {
    return;
  }
  if (const auto* caller_gone = std::get_if<CallerGone>(&event)) {
    m_context->dependencies.events->Record("pipeline", "cancelled", m_request.request_id,
                                           "the caller is gone", caller_gone->code);
  }
  std::vector<SessionAction> actions =
      m_session.Handle(event, m_context->dependencies.clock->Now());
  for (SessionAction& action : actions) {
    std::visit([this](auto& concrete) { Perform(std::move(concrete)); }, action);
  }
  if (m_session.Ended()) {
    CleanUp();
  }
}

void PipelineGeneration::Perform(SendStep action) {
  const int stage = action.stage;
  const std::string upstream = m_session.CurrentChain().stages[stage].upstream;
  const TimePoint start = m_context->dependencies.clock->Now();
  StepRequest identity;  // Omits the input, which can be large.
  identity.sequence = action.request.sequence;
  identity.attempt = action.request.attempt;
  identity.first_token = action.request.first_token;
  m_context->dependencies.engines->Step(
      std::move(action.request), [self = shared_from_this(), identity, stage, upstream,
                                  start](const Result<StepResult>& result) {
        self->OnStepResult(identity, stage, upstream, start, result);
      });
}

void PipelineGeneration::OnStepResult(const StepRequest& sent, int stage,
                                      const std::string& upstream, TimePoint start,
                                      const Result<StepResult>& result) {
  const TimePoint now = m_context->dependencies.clock->Now();
  const double ms = std::chrono::duration<double, std::milli>(now - start).count();
  ChainSelector* selector = m_context->dependencies.selector;
  if (result) {
    const StepResult& value = result.value();
    selector->OnStep(upstream, ms / std::max(value.token_count, 1), ResultCode::kOk, &value.load,
                     now);
    if (value.load.leaving) {
      ReportLeaving(upstream);
    }
    Post(StepDone{stage, sent.sequence, sent.attempt, value});
    return;
  }
  // A timeout is attributed to an engine only after a probe; see ReportTimeout.
  if (result.error().code != ResultCode::kUpstreamTimeout) {
    selector->OnStep(upstream, ms, result.error().code, nullptr, now);
  }
  if (result.error().code == ResultCode::kUpstreamLeaving) {
    ReportLeaving(upstream);
  }
  Post(StepFailed{stage, sent.sequence, sent.attempt, sent.first_token, result.error()});
}

void PipelineGeneration::ReportLeaving(const std::string& upstream) {
  if (m_context->dependencies.upstream_listener == nullptr) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_reported_leaving.insert(upstream).second) {
      return;
    }
  }
  m_context->dependencies.upstream_listener->OnUpstreamLeaving(upstream);
}

void PipelineGeneration::Perform(const RaiseAttempt& action) {
  m_context->dependencies.engines->RaiseAttempt(
      action.address, action.sequence, action.attempt,
      [self = shared_from_this(), stage = action.stage,
       attempt = action.attempt](const Result<AttemptReply>& reply) {
        self->Post(AttemptRaised{stage, attempt, reply});
      });
}

void PipelineGeneration::Perform(const ProbeEngine& action) {
  m_context->dependencies.engines->FetchLoad(
      action.address, [self = shared_from_this(), stage = action.stage,
                       probe = action.probe](const Result<EngineLoad>& load) {
        self->Post(ProbeDone{stage, probe, load.has_value()});
      });
}

void PipelineGeneration::Perform(const ImportKv& action) {
  m_context->dependencies.engines->ImportKv(
      action.address, action.sequence, action.attempt, action.source,
      [self = shared_from_this(), stage = action.stage, sequence = action.sequence,
       attempt = action.attempt](const Result<int>& tokens) {
        self->Post(ImportDone{stage, sequence, attempt, tokens});
      });
}

void PipelineGeneration::Perform(const SelectReplacement& action) {
  const PipelineDependencies& dependencies = m_context->dependencies;
  const TimePoint now = dependencies.clock->Now();
  if (action.uses_retry_budget &&
      !dependencies.admission->TakeRetry("model/" + m_request.model, now)) {
    Post(ReplacementChosen{
        action.stage, NotRun(ResultCode::kRetryBudgetExhausted, "the retry budget is exhausted")});
    return;
  }
  // The current snapshot reflects upstreams that left or joined since the request was admitted.
  std::shared_ptr<const Snapshot> snapshot = dependencies.snapshots->Current();
  if (snapshot->preset == nullptr) {
    snapshot = m_request.snapshot;
  }
  Post(ReplacementChosen{action.stage, dependencies.selector->SelectReplacement(
                                           *snapshot, m_request.model, action.range,
                                           action.excluded, action.previous_domain, now)});
}

void PipelineGeneration::Perform(const EmitToken& action) {
  m_sink->OnToken(action.position, action.text, action.end);
}

void PipelineGeneration::Perform(const EmitResumeToken& action) {
  ResumeClaims claims;
  claims.sequence_id = m_sequence_id;
  claims.workspace = m_request.workspace;
  claims.model = m_request.model;
  for (const ChainStage& stage : m_session.CurrentChain().stages) {
    claims.stages.push_back({stage.upstream, stage.range});
  }
  claims.point = action.point;
  claims.prompt_hash = m_prompt_hash;
  m_sink->OnResumeToken(m_context->codec.Sign(claims));
}

void PipelineGeneration::Perform(const Cancel& action) {
  m_context->dependencies.engines->Cancel(action.address, action.sequence, action.attempt);
}

void PipelineGeneration::Perform(const Finish& action) {
  m_context->dependencies.events->Record("pipeline", "finished", m_request.request_id, "",
                                         ResultCode::kOk);
  m_sink->OnFinish(action);
}

void PipelineGeneration::Perform(const Fail& action) {
  m_context->dependencies.events->Record("pipeline", "failed", m_request.request_id,
                                         action.error.message, action.error.code);
  m_sink->OnFail(action.error);
}

void PipelineGeneration::Perform(const ArmTimer& action) {
  const auto armed = m_timers.find(action.timer);
  if (armed != m_timers.end()) {
    m_context->timers->Cancel(armed->second);
  }
  m_timers[action.timer] =
      m_context->timers->Schedule(action.at, [weak = weak_from_this(), timer = action.timer] {
        if (const auto self = weak.lock()) {
          self->Post(Timeout{timer});
        }
      });
}

void PipelineGeneration::Perform(const StageReplaced& action) {
  EndSequence(action.stage);
  BeginSequence(action.stage, action.new_upstream);
}

void PipelineGeneration::Perform(const ReportTimeout& action) {
  const double step_timeout_ms =
      static_cast<double>(m_request.snapshot->preset->limits.step_timeout.count());
  m_context->dependencies.selector->OnStep(action.upstream, step_timeout_ms,
                                           ResultCode::kUpstreamTimeout, nullptr,
                                           m_context->dependencies.clock->Now());
}

void PipelineGeneration::Perform(const RecordEvent& action) {
  const PipelineDependencies& dependencies = m_context->dependencies;
  const std::string event = action.event;
  dependencies.events->Record("pipeline", event, m_request.request_id, action.upstream,
                              action.code);
  if (event == "kv_imported" || event == "recomputed") {
    dependencies.metrics->Add("azuregw_chain_repairs_total", "kind=\"" + event + "\"", 1);
    m_sink->OnRepair();
  }
}

void PipelineGeneration::BeginSequence(int stage, const std::string& upstream) {
  m_active_upstreams[stage] = upstream;
  m_context->dependencies.selector->OnSequenceStart(upstream);
}

void PipelineGeneration::EndSequence(int stage) {
  if (!m_active_upstreams[stage].empty()) {
    m_context->dependencies.selector->OnSequenceEnd(m_active_upstreams[stage]);
    m_active_upstreams[stage].clear();
  }
}

void PipelineGeneration::CleanUp() {
  for (const auto& [timer, id] : m_timers) {
    m_context->timers->Cancel(id);
  }
  m_timers.clear();
  for (size_t i = 0; i < m_active_upstreams.size(); ++i) {
    EndSequence(static_cast<int>(i));
  }
  m_sink.reset();
}

}  // namespace azuregw
