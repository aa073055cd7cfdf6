// Resume of a sequence that another instance started.

#include <algorithm>
#include <cassert>
#include <utility>

#include "azuregw/pipeline/pipeline_session.h"

namespace azuregw {
namespace {

// A stage that does not reply in time is recomputed on another engine.
constexpr Milliseconds kMaxRaiseTimeout{1000};
// Largest increment tried over the resume token's attempt. Resumes since the token was issued may
// have raised the engine's attempt.
constexpr uint32_t kMaxRaiseIncrement = 4096;

}  // namespace

void PipelineSession::RaiseAll() {
  m_phase = Phase::kRaising;
  m_may_have_run = true;
  m_attempt = m_spec.resume->attempt;
  m_prompt_tokens = m_spec.resume->prompt_tokens;
  m_raises.resize(m_stages.size());
  Add(ArmTimer{SessionTimer::kRaise, m_now + std::min(m_spec.step_timeout, kMaxRaiseTimeout)});
  bool all_lost = true;
  for (size_t i = 0; i < m_stages.size(); ++i) {
    m_raises[i].answered = m_stages[i].engine.address.empty();
    if (!m_raises[i].answered) {
      all_lost = false;
      SendRaise(static_cast<int>(i));
    }
  }
  if (all_lost) {
    FinishRaise();
  }
}

void PipelineSession::SendRaise(int index) {
  Raise& raise = m_raises[index];
  const Stage& stage = m_stages[index];
  raise.attempt = m_spec.resume->attempt + raise.increment;
  m_attempt = std::max(m_attempt, raise.attempt);
  Add(RaiseAttempt{index, stage.engine.address, SequenceName(stage), raise.attempt});
}

void PipelineSession::On(const AttemptRaised& event) {
  if (m_phase != Phase::kRaising) {
    return;
  }
  Raise& raise = m_raises.at(event.stage);
  if (raise.answered || event.attempt != raise.attempt) {
    return;
  }
  const bool stale = !event.reply && event.reply.error().code == ResultCode::kStaleAttempt;
  if (stale && raise.increment < kMaxRaiseIncrement) {
    raise.increment *= 2;
    SendRaise(event.stage);
    return;
  }
  if (stale) {
    EndWithError(event.reply.error(), false);
    return;
  }
  raise.answered = true;
  if (event.reply) {
    raise.reply = event.reply.value();
  }
  if (std::all_of(m_raises.begin(), m_raises.end(), [](const Raise& r) { return r.answered; })) {
    FinishRaise();
  }
}

void PipelineSession::FinishRaise() {
  const std::vector<Raise> raises = std::exchange(m_raises, {});
  for (const uint32_t token : m_spec.resume->outputs) {
    m_outputs.push_back({token, "", false});
  }
  m_outputs_base = m_outputs.size();
  const int last = static_cast<int>(m_stages.size()) - 1;
  const bool last_usable = raises[last].reply && RestoreOutputs(*raises[last].reply);
  if (!ReplayOutputs()) {
    return;
  }
  for (int i = 0; i <= last; ++i) {
    const std::optional<AttemptReply>& reply = raises[i].reply;
    if (!reply) {
      m_stages[i].engine.address.clear();  // The stage is replaced on its next step.
      continue;
    }
    // A stage that ran tokens whose IDs were lost with the last stage cannot be continued.
    const bool usable = i == last ? last_usable : reply->tokens <= Target();
    m_stages[i].done = reply->tokens;
    m_stages[i].retained_from = reply->tokens;
    RestoreStage(i, usable);
  }
  Advance();
}

void PipelineSession::RestoreStage(int index, bool usable) {
  Stage& stage = m_stages[index];
  if (usable) {
    return;
  }
  Add(Cancel{stage.engine.address, SequenceName(stage), m_attempt});
  stage.epoch = NextEpoch();
  stage.done = 0;
  stage.retained_from = 0;
  m_resume_token_due = true;
  Add(RecordEvent{"recomputed", stage.engine.upstream, ResultCode::kUnknownSequence});
}

bool PipelineSession::RestoreOutputs(const AttemptReply& last_reply) {
  const int count = static_cast<int>(last_reply.outputs.size());
  // The last output was sampled from the last token that the stage has run.
  const int first = last_reply.tokens - m_prompt_tokens - (count - 1);
  if (count == 0 || first < 0 || first > static_cast<int>(m_outputs.size())) {
    return false;
  }
  m_outputs.resize(first);
  m_outputs.insert(m_outputs.end(), last_reply.outputs.begin(), last_reply.outputs.end());
  m_outputs_base = first;
  return true;
}

// Emits the known outputs that the caller has not received. Returns false if the session has ended.
bool PipelineSession::ReplayOutputs() {
  const int known = static_cast<int>(m_outputs.size());
  const int next = m_spec.last_event_id + 1;
  if (known > 0 && next < static_cast<int>(m_outputs_base)) {
    EndWithError(Unknown(ResultCode::kInvalidResumeToken,
                         "Last-Event-ID precedes the outputs that can be replayed"),
                 true);
    return false;
  }
  for (int i = std::max(next, 0); i < known; ++i) {
    EmitOutput(i, m_outputs[i].text, m_outputs[i].end);
  }
  const bool end = known > 0 && m_outputs.back().end;
  if (end || known >= m_spec.max_tokens) {
    Add(Finish{end ? FinishReason::kStop : FinishReason::kLength, m_prompt_tokens, known});
    End(true);
    return false;
  }
  return true;
}

ResumePoint PipelineSession::MakeResumePoint() const {
  ResumePoint point;
  for (const Stage& stage : m_stages) {
    point.epochs.push_back(stage.epoch);
  }
  point.attempt = m_attempt;
  point.prompt_tokens = m_prompt_tokens;
  for (size_t i = 0; i < m_outputs_base; ++i) {
    point.outputs.push_back(m_outputs[i].token);
  }
  return point;
}

}  // namespace azuregw
