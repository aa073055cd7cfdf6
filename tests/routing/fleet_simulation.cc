// Event processing of the fleet simulation.

#include "tests/routing/fleet_simulation.h"

#include <algorithm>
#include <cmath>

namespace azuregw {
namespace {

constexpr double kPrefillSteps = 8;  // Duration of a prefill, in decode steps.
// Duration of a prefill with a cached prefix, in decode steps.
constexpr double kCachedPrefillSteps = 1;
constexpr int kChunk = 8;                  // Tokens per decode event.
constexpr double kReportIntervalS = 0.25;  // Interval between load reports, in s.

}  // namespace

FleetSimulation::FleetSimulation(const Preset& preset, const SimulationOptions& options,
                                 const PolicyFactory& policy)
    : m_preset(preset), m_options(options), m_random(MakeRandom(options.seed)) {
  m_inflight.resize(static_cast<size_t>(options.instances));
  m_admission_queue.resize(m_inflight.size());
  for (int i = 0; i < options.instances; ++i) {
    m_policies.push_back(policy(i));
  }
  for (const auto& [name, spec] : preset.engines) {
    m_engines[name].spec = spec;
  }
}

void FleetSimulation::SlowDown(const std::string& engine, double factor, double from_s,
                               double to_s) {
  m_engines.at(engine).slowdowns.push_back({factor, from_s, to_s});
}

void FleetSimulation::Freeze(const std::string& engine, double from_s, double to_s) {
  m_engines.at(engine).frozen_from = from_s;
  m_engines.at(engine).frozen_to = to_s;
}

void FleetSimulation::JoinAt(const std::string& engine, double at_s) {
  m_join_times[engine] = at_s;
  Schedule(at_s, [this] { PublishSnapshots(); });
}

SimulationResult FleetSimulation::Run() {
  PublishSnapshots();
  Schedule(0, [this] { ScheduleArrival(); });
  Schedule(0, [this] { SendLoadReports(); });
  while (!m_events.empty()) {
    std::pop_heap(m_events.begin(), m_events.end());
    const Event event = std::move(m_events.back());
    m_events.pop_back();
    if (event.at > m_options.seconds) {
      break;
    }
    m_now = event.at;
    event.action();
  }
  SimulationResult result = m_result;
  result.finished = static_cast<int>(m_first_token_ms.size());
  if (!m_first_token_ms.empty()) {
    std::sort(m_first_token_ms.begin(), m_first_token_ms.end());
    double sum = 0;
    int late = 0;
    for (const double ms : m_first_token_ms) {
      sum += ms;
      late += ms > 2000 ? 1 : 0;
    }
    const auto count = static_cast<double>(m_first_token_ms.size());
    result.first_token_mean_ms = sum / count;
    result.first_token_p95_ms = m_first_token_ms[m_first_token_ms.size() * 95 / 100];
    result.token_mean_ms = m_token_ms_sum / count;
    result.late_share = late / count;
    result.sequences_per_s = count / (m_options.seconds - m_options.warm_up_s);
  }
  result.cached_share = m_prefills == 0 ? 0 : static_cast<double>(m_cached) / m_prefills;
  return result;
}

void FleetSimulation::Schedule(double seconds, std::function<void()> action) {
  m_events.push_back({seconds, m_next_event_order++, std::move(action)});
  std::push_heap(m_events.begin(), m_events.end());
}

void FleetSimulation::PublishSnapshots() {
  auto preset = std::make_shared<Preset>(m_preset);
  for (const auto& [name, at] : m_join_times) {
    if (m_now < at) {
      preset->engines.erase(name);
    }
  }
  ++m_revision;
  m_snapshots.clear();
  for (int i = 0; i < m_options.instances; ++i) {
    Snapshot snapshot;
    snapshot.preset = preset;
    snapshot.topology_revision = m_revision;
    snapshot.self = "gw-" + std::to_string(i);
    snapshot.failure_domain = std::string("fd-") + "abc"[i % 3];
    m_snapshots.push_back(snapshot);
  }
}

void FleetSimulation::ScheduleArrival() {
  Schedule(m_now - std::log(1.0 - m_random->Unit()) / m_options.sequences_per_s,
           [this] { ScheduleArrival(); });
  auto sequence = std::make_shared<Sequence>();
  sequence->instance = m_random->Below(static_cast<uint64_t>(m_options.instances));
  sequence->tokens_left = m_options.tokens;
  sequence->arrived = m_now;
  if (m_options.prompts > 0) {
    sequence->prefix = 1 + m_random->Below(static_cast<uint64_t>(m_options.prompts));
  }
  if (m_options.max_inflight > 0 && m_inflight[sequence->instance] >= m_options.max_inflight) {
    m_admission_queue[sequence->instance].push_back(sequence);
  } else {
    Start(sequence);
  }
}

void FleetSimulation::Start(const SequencePtr& sequence) {
  ++m_inflight[sequence->instance];
  std::vector<uint64_t> prefix;
  if (sequence->prefix != 0) {
    prefix.push_back(sequence->prefix);
  }
  SelectionPolicy& policy = *m_policies[sequence->instance];
  sequence->engines = policy.Choose(m_snapshots[sequence->instance], prefix, Now());
  for (const std::string& engine : sequence->engines) {
    policy.OnStart(engine);
  }
  EnterStage(sequence);
}

void FleetSimulation::SendLoadReports() {
  Schedule(m_now + kReportIntervalS, [this] { SendLoadReports(); });
  const double lag = std::chrono::duration<double>(m_options.report_lag).count();
  for (const auto& [name, engine] : m_engines) {
    EngineLoad load;
    load.running = engine.running;
    load.waiting = static_cast<int>(engine.waiting.size());
    load.capacity = engine.spec.capacity;
    load.age = m_options.report_lag;
    Schedule(m_now + lag, [this, name = name, load] {
      for (const auto& policy : m_policies) {
        policy->OnLoad(name, load, Now());
      }
    });
  }
}

void FleetSimulation::EnterStage(const SequencePtr& sequence) {
  const std::string name = sequence->engines[sequence->stage];
  Engine& engine = m_engines.at(name);
  if (m_now >= engine.frozen_from && m_now < engine.frozen_to) {
    Schedule(m_now + std::chrono::duration<double>(m_options.step_timeout).count(), [this, sequence,
                                                                                     name] {
      ++m_result.step_failures;
      SelectionPolicy& policy = *m_policies[sequence->instance];
      policy.OnStep(name, 0, ResultCode::kUpstreamTimeout, Now());
      policy.OnEnd(name);
      const std::string other = policy.Replace(m_snapshots[sequence->instance], name, Now());
      policy.OnStart(other);
      sequence->engines[sequence->stage] = other;
      EnterStage(sequence);
    });
    return;
  }
  if (engine.running < engine.spec.capacity) {
    ++engine.running;
    StartPrefill(sequence);
  } else {
    engine.waiting.push_back(sequence);
  }
}

void FleetSimulation::StartPrefill(const SequencePtr& sequence) {
  const std::string& name = sequence->engines[sequence->stage];
  Engine& engine = m_engines.at(name);
  const bool cached = LookUpPrefix(&engine, name, sequence->prefix);
  const double steps = cached ? kCachedPrefillSteps : kPrefillSteps;
  const double ms = steps * StepMs(engine) + EdgeMs(*sequence, sequence->stage);
  Schedule(m_now + ms / 1000, [this, sequence, ms] { FinishPrefill(sequence, ms); });
}

void FleetSimulation::FinishPrefill(const SequencePtr& sequence, double stage_ms) {
  // A prefill processes many tokens, so its latency per token is small.
  const std::string& name = sequence->engines[sequence->stage];
  m_policies[sequence->instance]->OnStep(name, stage_ms / 512, ResultCode::kOk, Now());
  if (++sequence->stage < sequence->engines.size()) {
    EnterStage(sequence);
    return;
  }
  sequence->first_token = m_now;
  Decode(sequence);
}

void FleetSimulation::Decode(const SequencePtr& sequence) {
  if (sequence->tokens_left <= 0) {
    Finish(sequence);
    return;
  }
  double total_ms = 0;
  for (size_t i = 0; i < sequence->engines.size(); ++i) {
    const std::string& name = sequence->engines[i];
    const double ms = StepMs(m_engines.at(name)) + EdgeMs(*sequence, i);
    m_policies[sequence->instance]->OnStep(name, ms, ResultCode::kOk, Now());
    total_ms += ms;
  }
  sequence->tokens_left -= kChunk;
  Schedule(m_now + kChunk * total_ms / 1000, [this, sequence] { Decode(sequence); });
}

void FleetSimulation::Finish(const SequencePtr& sequence) {
  for (const std::string& name : sequence->engines) {
    ReleaseEngine(sequence, name);
  }
  --m_inflight[sequence->instance];
  std::deque<SequencePtr>& admission = m_admission_queue[sequence->instance];
  if (!admission.empty()) {
    const SequencePtr next = admission.front();
    admission.pop_front();
    Start(next);
  }
  if (sequence->arrived >= m_options.warm_up_s) {
    m_first_token_ms.push_back((sequence->first_token - sequence->arrived) * 1000);
    m_token_ms_sum += (m_now - sequence->first_token) * 1000 / m_options.tokens;
  }
}

void FleetSimulation::ReleaseEngine(const SequencePtr& sequence, const std::string& name) {
  Engine& engine = m_engines.at(name);
  m_policies[sequence->instance]->OnEnd(name);
  if (engine.waiting.empty()) {
    --engine.running;
    return;
  }
  const SequencePtr next = engine.waiting.front();
  engine.waiting.pop_front();
  StartPrefill(next);
}

bool FleetSimulation::LookUpPrefix(Engine* engine, const std::string& name, uint64_t prefix) {
  if (prefix == 0) {
    return false;
  }
  ++m_prefills;
  const auto found = std::find(engine->cached.begin(), engine->cached.end(), prefix);
  if (found != engine->cached.end()) {
    engine->cached.erase(found);
    engine->cached.push_back(prefix);
    ++m_cached;
    return true;
  }
  CacheEvents events;
  if (engine->cached.size() == m_options.cached_per_engine) {
    events.events.push_back({engine->next_cache_event++, false, engine->cached.front()});
    engine->cached.pop_front();
  }
  engine->cached.push_back(prefix);
  events.events.push_back({engine->next_cache_event++, true, prefix});
  events.next = engine->next_cache_event - 1;
  Schedule(m_now + std::chrono::duration<double>(m_options.report_lag).count(),
           [this, name, events] {
             for (const auto& policy : m_policies) {
               policy->OnCacheEvents(name, events);
             }
           });
  return false;
}

double FleetSimulation::StepMs(const Engine& engine) const {
  double factor = 1;
  for (const auto& [slow, from, to] : engine.slowdowns) {
    factor *= m_now >= from && m_now < to ? slow : 1.0;
  }
  return factor * engine.spec.step_ms * (1.0 + 1.0 * engine.running / engine.spec.capacity);
}

double FleetSimulation::EdgeMs(const Sequence& sequence, size_t stage) const {
  const std::string& self = m_snapshots[sequence.instance].failure_domain;
  const std::string& domain = m_engines.at(sequence.engines[stage]).spec.failure_domain;
  double ms = 2 * LinkMs(m_preset, self, domain);
  if (stage > 0) {
    const Engine& previous = m_engines.at(sequence.engines[stage - 1]);
    ms += 2 * LinkMs(m_preset, previous.spec.failure_domain, domain);
  }
  return ms;
}

TimePoint FleetSimulation::Now() const {
  const auto since = std::chrono::duration<double>(3600 + m_now);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(since));
}

Preset MakeMixedFleet(int engines_per_range) {
  Preset preset;
  preset.models["design"].layers = 24;
  const std::string domains[] = {"fd-a", "fd-b", "fd-c", "fd-far"};
  for (const std::string& near : {"fd-a", "fd-b", "fd-c"}) {
    for (const std::string& domain : domains) {
      preset.links[near][domain] = domain == near ? 0.1 : domain == "fd-far" ? 50.0 : 0.5;
    }
  }
  for (int first = 0; first < 24; first += 8) {
    for (int i = 0; i < engines_per_range; ++i) {
      EngineSpec engine;
      engine.name = "e" + std::to_string(first) + "-" + std::to_string(i);
      engine.model = "design";
      engine.range = {first, first + 8};
      engine.failure_domain = i % 10 == 9 ? domains[3] : domains[i % 3];
      const bool fast = i % 10 == 9 || i % 2 == 0;
      engine.kind = fast ? "h100" : "t4";
      engine.step_ms = fast ? 5 : 15;
      engine.capacity = fast ? 16 : 8;
      preset.engines[engine.name] = engine;
    }
  }
  return preset;
}

}  // namespace azuregw
