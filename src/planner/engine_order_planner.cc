// Decisions of the planner.

#include "azuregw/planner/engine_order_planner.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace azuregw {
namespace {

// How long an engine with an inherited intent is read more often than others.
constexpr Milliseconds kWatchTime{60000};
constexpr Milliseconds kWatchInterval{2000};
constexpr double kMaxReadBurst = 8;

bool IsLoad(EngineOrderKind kind) { return kind != EngineOrderKind::kSetRole; }

EngineOrder MakeOrder(EngineOrderKind kind, const std::string& argument) {
  EngineOrder order;
  order.kind = kind;
  order.argument = argument;
  return order;
}

}  // namespace

std::optional<EngineOrder> NextEngineOrder(const EngineSpec& spec, const EngineState& state) {
  if (!spec.model.empty() && spec.model != state.model) {
    return MakeOrder(EngineOrderKind::kLoadModel, spec.model);
  }
  if (!spec.version.empty() && spec.version != state.version) {
    return MakeOrder(EngineOrderKind::kLoadVersion, spec.version);
  }
  for (const std::string& adapter : spec.adapters) {
    if (std::find(state.adapters.begin(), state.adapters.end(), adapter) == state.adapters.end()) {
      return MakeOrder(EngineOrderKind::kLoadAdapter, adapter);
    }
  }
  if (!spec.role.empty() && spec.role != state.role) {
    return MakeOrder(EngineOrderKind::kSetRole, spec.role);
  }
  return std::nullopt;
}

void EngineOrderPlanner::OnLeaseObtained(uint64_t fencing,
                                         const std::vector<std::string>& suspected, TimePoint now) {
  assert(fencing > 0);
  m_fencing = fencing;
  m_engines.clear();
  // The former holder may have ordered a load just now.
  m_last_load = now;
  m_reads_at = now;
  m_read_tokens = kMaxReadBurst;
  for (const std::string& upstream : suspected) {
    m_engines[upstream].watch_until = now + kWatchTime;
  }
}

PlannerActions EngineOrderPlanner::Tick(const Preset& preset, TimePoint now) {
  PlannerActions actions;
  if (!HoldsLease()) {
    return actions;
  }
  for (auto it = m_engines.begin(); it != m_engines.end();) {
    it = preset.engines.count(it->first) == 0 ? m_engines.erase(it) : std::next(it);
  }
  for (const auto& [upstream, spec] : preset.engines) {
    Engine& engine = m_engines[upstream];
    if (engine.outstanding && engine.sent && now - engine.ordered_at > m_options.order_limit) {
      engine.outstanding.reset();
      engine.state.reset();
    }
    if (!engine.outstanding && engine.state) {
      const std::optional<EngineOrder> order = NextEngineOrder(spec, *engine.state);
      if (order && (!IsLoad(order->kind) || TakeLoad(now, preset.weight_loads_per_minute))) {
        engine.outstanding = order;
        PlanOrder(upstream, spec, &engine, now, &actions);
      }
    }
  }
  PlanReads(preset, now, &actions);
  return actions;
}

void EngineOrderPlanner::OnState(const EngineRead& read, const Result<EngineState>& state,
                                 TimePoint now) {
  const auto it = m_engines.find(read.upstream);
  if (it == m_engines.end() || !it->second.reading || it->second.read_started != read.started) {
    return;
  }
  Engine& engine = it->second;
  engine.reading = false;
  // A read that was asked for before the order says nothing about its effect.
  const bool counts = !engine.outstanding || engine.read_started >= engine.ordered_at;
  if (!state || !counts) {
    return;
  }
  engine.state = state.value();
  if (engine.outstanding && engine.sent &&
      engine.state->last_order_id == engine.outstanding->order_id) {
    engine.outstanding.reset();
  }
  const bool watched = now < engine.watch_until;
  engine.next_read = now + (engine.outstanding ? m_options.confirm_interval
                            : watched          ? kWatchInterval
                                               : Milliseconds(0));
}

void EngineOrderPlanner::OnOrderResult(const std::string& upstream, const std::string& order_id,
                                       const Result<bool>& result, TimePoint now) {
  const auto it = m_engines.find(upstream);
  if (it == m_engines.end() || !it->second.outstanding ||
      it->second.outstanding->order_id != order_id) {
    return;
  }
  Engine& engine = it->second;
  if (result.has_error() && result.error().code == ResultCode::kStaleFencing) {
    OnLeaseLost();
    return;
  }
  // When the reply was lost, only the state tells whether the order took effect.
  engine.sent = true;
  engine.ordered_at = now;
  engine.next_read = now;
  if (result.has_error() && result.error().outcome == RunOutcome::kNotRun) {
    engine.outstanding.reset();
    engine.state.reset();
    engine.next_read = now + m_options.confirm_interval;
  }
}

void EngineOrderPlanner::PlanOrder(const std::string& upstream, const EngineSpec& spec,
                                   Engine* engine, TimePoint now, PlannerActions* actions) {
  engine->outstanding->order_id = m_new_order_id();
  engine->outstanding->fencing = m_fencing;
  engine->ordered_at = now;
  engine->sent = false;
  actions->orders.push_back(
      EngineOrderSend{upstream, spec.address, *engine->outstanding, !spec.checks_fencing});
}

// Engines with an order on its way come first, then the ones that were read longest ago.
void EngineOrderPlanner::PlanReads(const Preset& preset, TimePoint now, PlannerActions* actions) {
  const std::chrono::duration<double> passed = now - m_reads_at;
  m_reads_at = now;
  m_read_tokens =
      std::min(kMaxReadBurst, m_read_tokens + passed.count() * m_options.reads_per_second);
  // No order on its way, time of the last read, and name.
  std::vector<std::tuple<bool, TimePoint, std::string>> due;
  for (auto& [upstream, engine] : m_engines) {
    if (engine.reading && now - engine.read_started > m_options.read_limit) {
      engine.reading = false;
    }
    const bool waits_for_send = engine.outstanding && !engine.sent;
    const bool once = !m_options.repairs && engine.state.has_value() && !engine.outstanding;
    if (!engine.reading && !waits_for_send && !once && now >= engine.next_read) {
      due.emplace_back(!engine.outstanding, engine.read_started, upstream);
    }
  }
  const size_t count = std::min(due.size(), static_cast<size_t>(m_read_tokens));
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
  for (size_t i = 0; i < count; ++i) {
    m_read_tokens -= 1;
    const std::string& upstream = std::get<2>(due[i]);
    Engine& engine = m_engines[upstream];
    engine.reading = true;
    engine.read_started = now;
    actions->reads.push_back(EngineRead{upstream, preset.engines.at(upstream).address, now});
  }
}

bool EngineOrderPlanner::TakeLoad(TimePoint now, int loads_per_minute) {
  const Milliseconds spacing(60000 / std::max(1, loads_per_minute));
  if (now - m_last_load < spacing) {
    return false;
  }
  m_last_load = now;
  return true;
}

}  // namespace azuregw
