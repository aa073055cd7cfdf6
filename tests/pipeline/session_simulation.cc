// Simulated clock, faults and caller of a PipelineSession.

#include "tests/pipeline/session_simulation.h"

#include <algorithm>
#include <utility>

namespace azuregw::testing {
namespace {

constexpr Milliseconds kStepTimeout{200};

std::string AddressOf(int stage, int engine) {
  return "127.0.0.1:" + std::to_string(1000 + stage * 100 + engine);
}

template <class T>
T Take(std::vector<T>* values, size_t index) {
  T value = (*values)[index];
  values->erase(values->begin() + static_cast<std::ptrdiff_t>(index));
  return value;
}

}  // namespace

SessionSimulation::SessionSimulation(const SimulationOptions& options, std::vector<Fault> faults,
                                     SessionFactory factory)
    : m_options(options),
      m_faults(std::move(faults)),
      m_factory(std::move(factory)),
      m_random(MakeRandom(options.seed)) {
  for (int stage = 0; stage < options.stages; ++stage) {
    for (int engine = 0; engine < options.engines_per_stage; ++engine) {
      Engine entry;
      const std::string address = AddressOf(stage, engine);
      entry.stage = {"engine-" + address,
                     address,
                     {stage * kLayersPerStage, (stage + 1) * kLayersPerStage},
                     "fd-a"};
      m_engines.emplace(address, std::move(entry));
    }
  }
}

std::string SessionSimulation::Run(Milliseconds limit) {
  StartSession(BaseSpec());
  const TimePoint end = m_now + limit;
  while (!m_queue.empty() && m_violation.empty() && !m_finished && !m_failure) {
    const auto next = m_queue.begin();
    if (next->first > end) {
      break;
    }
    m_now = next->first;
    const Task work = std::move(next->second);
    m_queue.erase(next);
    work();
  }
  if (m_violation.empty() && !m_finished && !m_failure) {
    return "the response did not end";
  }
  return m_violation;
}

int SessionSimulation::open_sequences() const {
  int count = 0;
  for (const auto& [address, engine] : m_engines) {
    count += static_cast<int>(engine.sequences.size());
  }
  return count;
}

void SessionSimulation::After(Milliseconds delay, Task work) {
  m_queue.emplace(m_now + delay, std::move(work));
}

void SessionSimulation::ReportViolation(const std::string& what) {
  if (m_violation.empty()) {
    m_violation = what;
  }
}

SessionSpec SessionSimulation::BaseSpec() {
  SessionSpec spec;
  spec.sequence_id = "r1";
  spec.model = "design";
  spec.transfer = m_options.transfer;
  spec.prompt = m_prompt;
  spec.max_tokens = m_options.max_tokens;
  spec.step_timeout = kStepTimeout;
  spec.deadline = m_now + m_options.deadline;
  spec.progress_timeout = m_options.deadline;
  for (int stage = 0; stage < m_options.stages; ++stage) {
    spec.chain.stages.push_back(m_engines.at(AddressOf(stage, 0)).stage);
  }
  return spec;
}

void SessionSimulation::StartSession(SessionSpec spec) {
  ++m_session_number;
  m_session = m_factory(std::move(spec));
  Post(SessionStart{});
}

void SessionSimulation::Resume() {
  SessionSpec spec = BaseSpec();
  if (m_resume_token) {
    spec.chain = m_resume_chain;
    spec.resume = m_resume_token;
    spec.last_event_id = m_received_count - 1;
  } else {
    // Without a resume token, the caller sends the request again, as a new sequence.
    spec.sequence_id = "r" + std::to_string(m_session_number + 1);
  }
  spec.epoch_base = static_cast<uint32_t>(m_session_number) * 1000;
  StartSession(std::move(spec));
}

void SessionSimulation::Post(const SessionEvent& event) {
  if (m_session->Ended() || !m_violation.empty()) {
    return;
  }
  for (const SessionAction& action : m_session->Handle(event, m_now)) {
    std::visit([this](const auto& concrete) { Perform(concrete); }, action);
  }
}

std::optional<Fault> SessionSimulation::TakeFault() {
  for (size_t i = 0; i < m_faults.size(); ++i) {
    if (m_faults[i].step == m_steps) {
      return Take(&m_faults, i);
    }
  }
  return std::nullopt;
}

void SessionSimulation::Crash(Engine* engine, int duration_ms) {
  engine->sequences.clear();
  engine->down_until = m_now + Milliseconds(duration_ms);
}

void SessionSimulation::InjectFault(const Fault& fault, Engine* engine, int stage) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      Crash(engine, fault.duration_ms);
      break;
    case FaultKind::kCrashBoth: {
      Crash(engine, fault.duration_ms);
      const Chain chain = m_session->CurrentChain();
      if (stage > 0 && !chain.stages[stage - 1].address.empty()) {
        Crash(Find(chain.stages[stage - 1].address), fault.duration_ms);
      }
      break;
    }
    case FaultKind::kFreeze:
      engine->frozen_until = m_now + Milliseconds(fault.duration_ms);
      break;
    case FaultKind::kFreezePrevious: {
      const Chain chain = m_session->CurrentChain();
      if (stage > 0 && !chain.stages[stage - 1].address.empty()) {
        Find(chain.stages[stage - 1].address)->frozen_until =
            m_now + Milliseconds(fault.duration_ms);
      }
      break;
    }
    case FaultKind::kLeave:
      engine->leaving = true;
      After(Milliseconds(fault.duration_ms), [this, engine] {
        engine->leaving = false;
        Crash(engine, 0);
      });
      break;
    default:
      break;
  }
}

void SessionSimulation::Perform(const SendStep& action) {
  ++m_steps;
  RecordLineage(action.stage, action.request.sequence);
  Engine* engine = Find(action.request.address);
  std::optional<Fault> fault = TakeFault();
  if (fault && fault->kind == FaultKind::kInstanceLoss) {
    const int number = m_session_number;
    After(Milliseconds(m_random->Below(20)), [this, number] {
      if (number == m_session_number && !m_session->Ended()) {
        Resume();
      }
    });
  } else if (fault) {
    InjectFault(*fault, engine, action.stage);
  }
  const SendStep sent = action;
  After(Milliseconds(1 + m_random->Below(3)), [this, sent, fault] { Deliver(sent, fault); });
  const int number = m_session_number;
  After(action.request.timeout, [this, sent, number] {
    if (number == m_session_number) {
      Post(StepFailed{sent.stage, sent.request.sequence, sent.request.attempt,
                      sent.request.first_token, Unknown(ResultCode::kUpstreamTimeout, "timeout")});
    }
  });
}

void SessionSimulation::Deliver(const SendStep& sent, const std::optional<Fault>& fault) {
  Engine* engine = Find(sent.request.address);
  if (engine->frozen_until > m_now) {
    After(std::chrono::duration_cast<Milliseconds>(engine->frozen_until - m_now) + Milliseconds(1),
          [this, sent, fault] { Deliver(sent, fault); });
    return;
  }
  if (const auto* fetch = std::get_if<FetchActivations>(&sent.request.input)) {
    const TimePoint unfrozen_at = Find(fetch->address)->frozen_until;
    if (unfrozen_at > m_now && engine->down_until <= m_now) {
      After(std::chrono::duration_cast<Milliseconds>(unfrozen_at - m_now) + Milliseconds(1),
            [this, sent, fault] { Deliver(sent, fault); });
      return;
    }
  }
  const Result<StepResult> result = Execute(engine, sent.request);
  const int number = m_session_number;
  const Task reply = [this, sent, result, number] {
    if (number != m_session_number) {
      return;
    }
    if (result) {
      Post(StepDone{sent.stage, sent.request.sequence, sent.request.attempt, result.value()});
    } else {
      Post(StepFailed{sent.stage, sent.request.sequence, sent.request.attempt,
                      sent.request.first_token, result.error()});
    }
  };
  const FaultKind kind = fault ? fault->kind : FaultKind::kCrash;
  if (kind == FaultKind::kLoseReply) {
    return;
  }
  const int reply_delay_ms = kind == FaultKind::kLateReply ? 150 + fault->duration_ms : 1;
  After(Milliseconds(reply_delay_ms), reply);
  if (kind == FaultKind::kDuplicate) {
    After(Milliseconds(1 + m_random->Below(30)), reply);
  }
}

void SessionSimulation::RecordLineage(int stage, const std::string& sequence) {
  if (stage + 1 == m_options.stages) {
    m_last_lineage = sequence;
  }
}

void SessionSimulation::Perform(const SelectReplacement& action) {
  std::vector<ChainStage> candidates;
  for (const auto& [address, engine] : m_engines) {
    const bool excluded = std::find(action.excluded.begin(), action.excluded.end(),
                                    engine.stage.upstream) != action.excluded.end();
    if (engine.stage.range == action.range && !excluded && !engine.leaving) {
      candidates.push_back(engine.stage);
    }
  }
  Result<ChainStage> chosen = NotRun(ResultCode::kNoChain, "no engine");
  if (action.uses_retry_budget && m_random->Below(5) == 0) {
    chosen = NotRun(ResultCode::kRetryBudgetExhausted, "budget");
  } else if (!candidates.empty()) {
    chosen = candidates[m_random->Below(candidates.size())];
  }
  const int number = m_session_number;
  After(Milliseconds(0), [this, stage = action.stage, chosen, number] {
    if (number == m_session_number) {
      Post(ReplacementChosen{stage, chosen});
    }
  });
}

uint64_t SessionSimulation::ReferenceValue(int token_count) const {
  std::vector<uint32_t> tokens = fakes::Tokenize(m_prompt);
  tokens.insert(tokens.end(), m_received_tokens.begin(), m_received_tokens.end());
  std::vector<uint64_t> caches(static_cast<size_t>(m_options.stages * kLayersPerStage), 0);
  uint64_t value = 0;
  for (int token = 0; token < token_count; ++token) {
    value = fakes::Embed(tokens.at(static_cast<size_t>(token)), token);
    for (size_t layer = 0; layer < caches.size(); ++layer) {
      value = fakes::RunLayer(value, static_cast<int>(layer), token, &caches[layer]);
    }
  }
  return value;
}

void SessionSimulation::Perform(const EmitToken& action) {
  if (action.position != m_received_count) {
    ReportViolation("position " + std::to_string(action.position) + " follows " +
                    std::to_string(m_received_count - 1));
    return;
  }
  const int before = static_cast<int>(fakes::Tokenize(m_prompt).size()) + m_received_count;
  const uint64_t expected = ReferenceValue(before);
  const auto sampled = m_sampled.find({m_last_lineage, before});
  if (sampled == m_sampled.end() || sampled->second != action.text) {
    ReportViolation("output " + std::to_string(action.position) + " is not of the current lineage");
  }
  if (!m_options.random_sampling && action.text != fakes::SampleToken(expected).text) {
    ReportViolation("output " + std::to_string(action.position) + " is wrong");
  }
  m_received_tokens.push_back(static_cast<uint32_t>(std::stoul(action.text.substr(1))));
  m_text += action.text;
  const TimePoint previous = std::exchange(m_last_output, m_now);
  m_longest_gap =
      std::max(m_longest_gap, std::chrono::duration_cast<Milliseconds>(m_now - previous));
  ++m_received_count;
}

void SessionSimulation::Perform(const EmitResumeToken& action) {
  m_resume_token = action.point;
  m_resume_chain = m_session->CurrentChain();
}

void SessionSimulation::Perform(const Finish& action) {
  m_finished = true;
  if (action.completion_tokens != m_received_count) {
    ReportViolation("the response is incomplete");
  }
  if (action.reason == FinishReason::kLength && m_received_count != m_options.max_tokens) {
    ReportViolation("the response is too short");
  }
}

void SessionSimulation::Perform(const Fail& action) { m_failure = action.error; }

void SessionSimulation::Perform(const ArmTimer& action) {
  const int number = m_session_number;
  m_queue.emplace(action.at, [this, timer = action.timer, number] {
    if (number == m_session_number) {
      Post(Timeout{timer});
    }
  });
}

}  // namespace azuregw::testing
