// Prefill and decode of a sequence without failures.

#include "azuregw/pipeline/pipeline_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace azuregw {
namespace {

// The timeout of a step grows by one step timeout per this number of tokens.
constexpr int kTokensPerStepTimeout = 512;
// Estimate for a prompt that no engine has tokenized yet.
constexpr int kBytesPerToken = 4;

}  // namespace

PipelineSession::PipelineSession(SessionSpec spec)
    : m_spec(std::move(spec)), m_next_epoch(m_spec.epoch_base) {
  assert(!m_spec.chain.stages.empty());
  for (size_t i = 0; i < m_spec.chain.stages.size(); ++i) {
    Stage stage;
    stage.engine = m_spec.chain.stages[i];
    if (m_spec.resume) {
      stage.epoch = m_spec.resume->epochs.at(i);
    }
    m_stages.push_back(std::move(stage));
  }
}

std::vector<SessionAction> PipelineSession::Handle(const SessionEvent& event, TimePoint now) {
  m_now = now;
  m_actions.clear();
  if (!Ended()) {
    std::visit([this](const auto& concrete) { On(concrete); }, event);
  }
  return std::move(m_actions);
}

Chain PipelineSession::CurrentChain() const {
  Chain chain = m_spec.chain;
  for (size_t i = 0; i < m_stages.size(); ++i) {
    chain.stages[i] = m_stages[i].engine;
  }
  return chain;
}

bool PipelineSession::IsCurrent(const std::string& sequence, uint32_t attempt) const {
  return sequence == m_in_flight.sequence && attempt == m_in_flight.attempt;
}

void PipelineSession::On(const SessionStart&) {
  m_progress_deadline = m_spec.deadline;
  Add(ArmTimer{SessionTimer::kProgress, m_progress_deadline});
  if (m_spec.resume) {
    RaiseAll();
  } else {
    Advance();
  }
}

void PipelineSession::On(const StepDone& event) {
  const bool expected = m_phase == Phase::kStepping && event.stage == m_in_flight.stage &&
                        event.result.first_token == m_in_flight.first_token;
  if (!expected || !IsCurrent(event.sequence, event.attempt)) {
    return;
  }
  m_may_have_run = true;
  if (!AcceptResult(event)) {
    const Error error = Unknown(ResultCode::kUpstreamProtocol,
                                "the step result has the wrong number of tokens or activations");
    HandleStepFailure(event.stage, error);
    return;
  }
  if (event.stage + 1 == static_cast<int>(m_stages.size())) {
    AcceptOutput(event.result);
  } else {
    Advance();
  }
}

void PipelineSession::On(const StepFailed& event) {
  const bool expected = m_phase == Phase::kStepping && event.stage == m_in_flight.stage &&
                        event.first_token == m_in_flight.first_token;
  if (!expected || !IsCurrent(event.sequence, event.attempt)) {
    return;
  }
  m_may_have_run = m_may_have_run || event.error.outcome != RunOutcome::kNotRun;
  HandleStepFailure(event.stage, event.error);
}

void PipelineSession::On(const Timeout& event) {
  switch (event.timer) {
    case SessionTimer::kProgress:
      CheckProgress();
      break;
    case SessionTimer::kBackoff:
      OnBackoffExpired();
      break;
    case SessionTimer::kImport:
      if (m_phase == Phase::kImporting) {
        Recompute(m_repair.stage, m_repair.replacement);
      }
      break;
    case SessionTimer::kProbe:
      if (m_phase == Phase::kProbing) {
        FinishProbe();
      }
      break;
    case SessionTimer::kRaise:
      if (m_phase == Phase::kRaising) {
        FinishRaise();
      }
      break;
  }
}

void PipelineSession::On(const CallerGone&) { End(true); }

std::string PipelineSession::SequenceName(const Stage& stage) const {
  return m_spec.sequence_id + "." + std::to_string(stage.epoch);
}

int PipelineSession::Target() const { return m_prompt_tokens + static_cast<int>(m_outputs.size()); }

void PipelineSession::Advance() {
  for (size_t i = 0; i < m_stages.size(); ++i) {
    if (m_prompt_tokens < 0 || m_stages[i].done < Target()) {
      SendStepTo(static_cast<int>(i));
      return;
    }
  }
  assert(false && "the last stage answers each target with one more output");
}

void PipelineSession::SendStepTo(int index) {
  const Stage& stage = m_stages[index];
  if (stage.engine.address.empty()) {
    BeginRepair(index, RepairKind::kRecompute,
                NotRun(ResultCode::kUpstreamUnreachable, "the engine is no longer configured"));
    return;
  }
  const bool prompt = index == 0 && stage.done == 0;
  StepRequest request;
  request.address = stage.engine.address;
  request.sequence = SequenceName(stage);
  request.attempt = m_attempt;
  request.model = m_spec.model;
  request.range = stage.engine.range;
  request.first_token = stage.done;
  request.token_count = prompt ? 0 : Target() - stage.done;
  request.priority = m_spec.priority;
  request.output = m_spec.transfer;
  request.input = InputFor(index, request.first_token, request.token_count);
  const int tokens =
      prompt ? static_cast<int>(m_spec.prompt.size()) / kBytesPerToken : request.token_count;
  request.timeout = m_spec.step_timeout * (1 + tokens / kTokensPerStepTimeout);
  m_phase = Phase::kStepping;
  m_in_flight = {index, request.sequence, m_attempt, request.first_token,
                 std::holds_alternative<FetchActivations>(request.input)};
  Add(SendStep{index, std::move(request)});
}

StepInput PipelineSession::InputFor(int index, int first, int count) const {
  if (index == 0 && first == 0) {
    return PromptText{m_spec.prompt};
  }
  if (index == 0) {
    TokenIds tokens;
    for (int i = first; i < first + count; ++i) {
      tokens.ids.push_back(m_outputs.at(i - m_prompt_tokens).token);
    }
    return tokens;
  }
  const Stage& previous = m_stages[index - 1];
  assert(previous.done == Target());
  if (m_spec.transfer == ActivationTransfer::kInline && first >= previous.retained_from) {
    const auto begin = previous.retained.begin() + (first - previous.retained_from);
    return InlineActivations{{begin, begin + count}};
  }
  return FetchActivations{previous.engine.address, SequenceName(previous),
                          previous.engine.range.last, first, count};
}

bool PipelineSession::AcceptResult(const StepDone& event) {
  Stage& stage = m_stages[event.stage];
  const StepResult& result = event.result;
  const bool last = event.stage + 1 == static_cast<int>(m_stages.size());
  const bool prompt = event.stage == 0 && stage.done == 0;
  const int expected = prompt ? m_prompt_tokens : Target() - stage.done;
  const bool valid_count =
      result.token_count > 0 && (expected < 0 || result.token_count == expected);
  const bool has_activations = m_spec.transfer == ActivationTransfer::kHandle || last ||
                               static_cast<int>(result.activations.size()) == result.token_count;
  if (!valid_count || !has_activations) {
    return false;
  }
  if (prompt && m_prompt_tokens < 0) {
    m_prompt_tokens = result.token_count;
  }
  stage.done += result.token_count;
  if (m_spec.transfer == ActivationTransfer::kInline && !last) {
    stage.retained.insert(stage.retained.end(), result.activations.begin(),
                          result.activations.end());
  }
  return true;
}

void PipelineSession::AcceptOutput(const StepResult& result) {
  if (m_stages.back().done < Target()) {
    // A chain with a single stage recomputes the prompt and the outputs in two steps.
    Advance();
    return;
  }
  if (!result.has_token) {
    HandleStepFailure(static_cast<int>(m_stages.size()) - 1,
                      Unknown(ResultCode::kUpstreamProtocol, "the last stage returned no token"));
    return;
  }
  m_consecutive_repairs = 0;
  m_fetch_failures = 0;
  m_timeouts = 0;
  m_consecutive_waits = 0;
  m_progress_deadline = m_now + m_spec.progress_timeout;
  m_outputs.push_back({result.token, result.text, result.end});
  const int position = static_cast<int>(m_outputs.size()) - 1;
  EmitOutput(position, result.text, result.end);
  if (result.end || static_cast<int>(m_outputs.size()) >= m_spec.max_tokens) {
    Add(Finish{result.end ? FinishReason::kStop : FinishReason::kLength, m_prompt_tokens,
               static_cast<int>(m_outputs.size())});
    End(true);
    return;
  }
  Advance();
}

void PipelineSession::EmitOutput(int position, const std::string& text, bool end) {
  if (m_resume_token_due) {
    Add(EmitResumeToken{MakeResumePoint()});
    m_resume_token_due = false;
  }
  if (position > m_spec.last_event_id) {
    Add(EmitToken{position, text, end});
  }
}

void PipelineSession::CheckProgress() {
  if (m_now < m_progress_deadline) {
    Add(ArmTimer{SessionTimer::kProgress, m_progress_deadline});
    return;
  }
  if (m_last_error.code != ResultCode::kInternal) {
    EndWithError(m_last_error, true);
  } else {
    EndWithError(Unknown(ResultCode::kUpstreamTimeout, "no token within the deadline"), true);
  }
}

void PipelineSession::End(bool cancel) {
  if (cancel) {
    for (const Stage& stage : m_stages) {
      if (!stage.engine.address.empty()) {
        Add(Cancel{stage.engine.address, SequenceName(stage), m_attempt});
      }
    }
    if (m_phase == Phase::kImporting) {
      const Stage& stage = m_stages[m_repair.stage];
      Add(Cancel{m_repair.replacement.address, SequenceName(stage), m_attempt});
    }
  }
  m_phase = Phase::kEnded;
}

void PipelineSession::EndWithError(Error error, bool cancel) {
  m_may_have_run = m_may_have_run || m_phase == Phase::kStepping;
  error.outcome = m_may_have_run ? RunOutcome::kUnknown : RunOutcome::kNotRun;
  Add(Fail{std::move(error)});
  End(cancel);
}

}  // namespace azuregw
