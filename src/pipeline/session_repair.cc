// Repair of a failed stage: probe, replacement, KV cache import or recomputation.

#include <algorithm>
#include <cassert>
#include <utility>

#include "azuregw/pipeline/pipeline_session.h"

namespace azuregw {
namespace {

// Further consecutive repairs back off, so that a sequence that fails on every engine does not load
// the engines until its deadline.
constexpr int kMaxImmediateRepairs = 3;
constexpr Milliseconds kFirstBackoff{20};
constexpr Milliseconds kMaxBackoff{1000};
// Limits the delay for the caller if a frozen engine never replies to an import.
constexpr Milliseconds kMaxImportTimeout{500};
// Engines serve load reports without queueing, so one that takes longer is considered frozen.
constexpr Milliseconds kMaxProbeTimeout{250};

}  // namespace

// Gives a new name to a sequence whose first step may still run. If the step were sent again under
// the same name, an engine that has lost the sequence in between would run it twice.
void PipelineSession::RenewUnansweredSequence(int index, const Error& error) {
  Stage& stage = m_stages[index];
  if (stage.done > 0 || error.outcome == RunOutcome::kNotRun) {
    return;
  }
  Add(Cancel{stage.engine.address, SequenceName(stage), m_attempt});
  stage.epoch = NextEpoch();
  m_resume_token_due = true;
}

void PipelineSession::HandleStepFailure(int index, const Error& error) {
  const Stage& stage = m_stages[index];
  m_last_error = error;
  Add(RecordEvent{"stage_failed", stage.engine.upstream, error.code});
  RenewUnansweredSequence(index, error);
  const RepairKind repair_kind = stage.done > 0 ? RepairKind::kImport : RepairKind::kRecompute;
  switch (error.code) {
    case ResultCode::kStaleAttempt:
      // Another instance continues the sequence, so it must not be cancelled.
      EndWithError(error, false);
      return;
    case ResultCode::kUpstreamLeaving:
      BeginRepair(index, repair_kind, error);
      return;
    case ResultCode::kUpstreamTimeout:
      BeginProbe(index);
      return;
    case ResultCode::kOverloaded:
      if (stage.done == 0) {
        BeginRepair(index, RepairKind::kRecompute, error);
      } else {
        CountRepair();
        WaitBeforeRetry(false);
      }
      return;
    case ResultCode::kUnknownSequence:
      // The engine responds but has lost its state, for example by a restart.
      if (m_consecutive_repairs > 0) {
        BeginRepair(index, RepairKind::kRecompute, error);
      } else {
        CountRepair();
        Recompute(index, ChainStage(stage.engine));
      }
      return;
    case ResultCode::kFetchFailed:
      // Repairs alternate between the previous stage, which is presumed lost first, and the stage
      // that failed to fetch.
      BeginRepair(index > 0 && m_fetch_failures++ % 2 == 0 ? index - 1 : index,
                  RepairKind::kRecompute, error);
      return;
    default:
      BeginRepair(index, RepairKind::kRecompute, error);
  }
}

// Probes the two possible causes of a step timeout: the stage's engine, and the engine from which
// it fetches its input.
void PipelineSession::BeginProbe(int index) {
  m_phase = Phase::kProbing;
  m_probe = Probe{m_probe.number + 1, index, m_in_flight.fetches_input, false, false};
  Add(ProbeEngine{index, m_probe.number, m_stages[index].engine.address});
  if (m_probe.probes_previous) {
    Add(ProbeEngine{index - 1, m_probe.number, m_stages[index - 1].engine.address});
  }
  Add(ArmTimer{SessionTimer::kProbe, m_now + std::min(m_spec.step_timeout, kMaxProbeTimeout)});
}

void PipelineSession::On(const ProbeDone& event) {
  if (m_phase != Phase::kProbing || event.probe != m_probe.number || !event.answered) {
    return;
  }
  if (event.stage == m_probe.stage) {
    m_probe.stage_answered = true;
  } else {
    m_probe.previous_answered = true;
  }
  if (m_probe.stage_answered && (m_probe.previous_answered || !m_probe.probes_previous)) {
    FinishProbe();
  }
}

void PipelineSession::FinishProbe() {
  const int index = m_probe.stage;
  const bool previous_silent = m_probe.probes_previous && !m_probe.previous_answered;
  if (!m_probe.stage_answered) {
    RepairAfterTimeout(index, RepairKind::kRecompute);
    return;
  }
  if (previous_silent) {
    RepairAfterTimeout(index - 1, RepairKind::kRecompute);
    return;
  }
  // All engines respond, so the engine is slow, a reply was lost, or the link between the engines
  // is down. The stage is replaced first; if the timeout recurs, the previous stage is recomputed
  // on another engine.
  const bool repair_previous = m_probe.probes_previous && m_timeouts++ % 2 == 1;
  const bool can_import = !repair_previous && m_stages[index].done > 0;
  RepairAfterTimeout(repair_previous ? index - 1 : index,
                     can_import ? RepairKind::kImport : RepairKind::kRecompute);
}

void PipelineSession::RepairAfterTimeout(int index, RepairKind kind) {
  Add(ReportTimeout{m_stages[index].engine.upstream});
  BeginRepair(index, kind, Error(m_last_error));
}

void PipelineSession::CountRepair() {
  ++m_repairs;
  ++m_consecutive_repairs;
}

void PipelineSession::BeginRepair(int index, RepairKind kind, const Error& error) {
  m_last_error = error;
  CountRepair();
  Stage& stage = m_stages[index];
  if (std::find(stage.excluded.begin(), stage.excluded.end(), stage.engine.upstream) ==
      stage.excluded.end()) {
    stage.excluded.push_back(stage.engine.upstream);
  }
  m_repair = Repair{index, kind, ChainStage()};
  if (m_consecutive_repairs > kMaxImmediateRepairs) {
    WaitBeforeRetry(true);
  } else {
    Select();
  }
}

void PipelineSession::Select() {
  const int index = m_repair.stage;
  const Stage& stage = m_stages[index];
  m_phase = Phase::kSelecting;
  SelectReplacement select;
  select.stage = index;
  select.range = stage.engine.range;
  select.excluded = stage.excluded;
  select.previous_domain = index > 0 ? m_stages[index - 1].engine.failure_domain : "";
  select.uses_retry_budget = m_consecutive_repairs > 1;
  Add(std::move(select));
}

void PipelineSession::On(const ReplacementChosen& event) {
  if (m_phase != Phase::kSelecting || event.stage != m_repair.stage) {
    return;
  }
  if (event.replacement) {
    m_repair.replacement = event.replacement.value();
    AdoptReplacement();
    return;
  }
  const ResultCode code = event.replacement.error().code;
  if (code == ResultCode::kNoChain) {
    // An engine that failed earlier may have recovered.
    m_stages[m_repair.stage].excluded.clear();
  }
  m_last_error = event.replacement.error();
  WaitBeforeRetry(true);
}

void PipelineSession::WaitBeforeRetry(bool select) {
  m_phase = Phase::kBackoff;
  m_select_after_backoff = select;
  const int doublings = std::min(m_consecutive_waits++, 10);
  const Milliseconds wait = std::min(kFirstBackoff * (1 << doublings), kMaxBackoff);
  Add(ArmTimer{SessionTimer::kBackoff, m_now + wait});
}

void PipelineSession::OnBackoffExpired() {
  if (m_phase != Phase::kBackoff) {
    return;
  }
  if (m_select_after_backoff) {
    Select();
  } else {
    RetryStep();
  }
}

void PipelineSession::AdoptReplacement() {
  const int index = m_repair.stage;
  const Stage& stage = m_stages[index];
  const bool same_engine = m_repair.replacement.upstream == stage.engine.upstream;
  if (m_repair.kind == RepairKind::kRecompute) {
    Recompute(index, ChainStage(m_repair.replacement));
    return;
  }
  if (same_engine) {
    // The range has no other engine, and this one is presumed to hold the sequence still.
    RetryStep();
    return;
  }
  m_phase = Phase::kImporting;
  ++m_attempt;
  m_in_flight = {index, SequenceName(stage), m_attempt, -1, false};
  Add(ImportKv{index, m_repair.replacement.address, m_in_flight.sequence, m_attempt,
               stage.engine.address});
  Add(ArmTimer{SessionTimer::kImport, m_now + std::min(m_spec.step_timeout, kMaxImportTimeout)});
}

void PipelineSession::On(const ImportDone& event) {
  const bool expected = m_phase == Phase::kImporting && event.stage == m_repair.stage;
  if (!expected || !IsCurrent(event.sequence, event.attempt)) {
    return;
  }
  const int index = m_repair.stage;
  Stage& stage = m_stages[index];
  if (!event.tokens || event.tokens.value() < stage.done) {
    Recompute(index, ChainStage(m_repair.replacement));
    return;
  }
  // The old engine may have run the step in flight before it exported the sequence. The new engine
  // then replies with the stored result or refuses the step, but does not run it again.
  const ChainStage old = std::exchange(stage.engine, m_repair.replacement);
  Add(Cancel{old.address, SequenceName(stage), m_attempt});
  if (index + 1 == static_cast<int>(m_stages.size())) {
    m_outputs_base = m_outputs.size();
  }
  RecordReplacement(index, old.upstream, "kv_imported");
  Advance();
}

void PipelineSession::Recompute(int index, const ChainStage& engine) {
  Stage& stage = m_stages[index];
  const std::string old_sequence = SequenceName(stage);
  if (m_phase == Phase::kImporting) {
    Add(Cancel{m_repair.replacement.address, old_sequence, m_attempt});
  }
  const ChainStage old = std::exchange(stage.engine, engine);
  if (!old.address.empty()) {
    Add(Cancel{old.address, old_sequence, m_attempt});
  }
  stage.epoch = NextEpoch();
  stage.done = 0;
  stage.retained_from = 0;
  stage.retained.clear();
  if (index + 1 == static_cast<int>(m_stages.size())) {
    m_outputs_base = m_outputs.size();
  }
  RecordReplacement(index, old.upstream, "recomputed");
  Advance();
}

void PipelineSession::RetryStep() {
  // A late reply to the earlier attempt is discarded.
  ++m_attempt;
  m_resume_token_due = true;
  Advance();
}

void PipelineSession::RecordReplacement(int index, const std::string& old_upstream,
                                        const char* kind) {
  m_resume_token_due = true;
  const std::string& new_upstream = m_stages[index].engine.upstream;
  if (new_upstream != old_upstream) {
    Add(StageReplaced{index, old_upstream, new_upstream});
    Add(RecordEvent{"stage_replaced", new_upstream, m_last_error.code});
  }
  Add(RecordEvent{kind, new_upstream, m_last_error.code});
}

}  // namespace azuregw
