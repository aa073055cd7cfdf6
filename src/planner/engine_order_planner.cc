// Order and read scheduling of the planner.

#include "azuregw/planner/engine_order_planner.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace azuregw {
namespace {

// Time during which an engine with an intent of an earlier holder is read more often.
constexpr Milliseconds kIntentWatchDuration{60000};
constexpr Milliseconds kIntentWatchInterval{2000};
constexpr double kMaxReadBurst = 8;

// Returns whether the order reads from the weight store.
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
                                         const std::vector<std::string>& intent_upstreams,
                                         TimePoint now) {
  assert(fencing > 0);
  m_fencing = fencing;
  m_engines.clear();
  // The previous holder may have ordered a load immediately before.
  m_last_load = now;
  m_read_tokens_updated = now;
  m_read_tokens = kMaxReadBurst;
  for (const std::string& upstream : intent_upstreams) {
    m_engines[upstream].watch_until = now + kIntentWatchDuration;
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
    if (engine.outstanding && engine.sent && now - engine.ordered_at > m_options.order_timeout) {
      engine.outstanding.reset();
      engine.state.reset();
    }
    if (!engine.outstanding && engine.state) {
      const std::optional<EngineOrder> order = NextEngineOrder(spec, *engine.state);
      if (order && (!IsLoad(order->kind) || TakeLoadSlot(now, preset.weight_loads_per_minute))) {
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
  if (it == m_engines.end() || !it->second.read_pending ||
      it->second.read_started != read.started) {
    return;
  }
  Engine& engine = it->second;
  engine.read_pending = false;
  // A read that was started before the order does not show its effect.
  const bool is_current = !engine.outstanding || engine.read_started >= engine.ordered_at;
  if (!state || !is_current) {
    return;
  }
  engine.state = state.value();
  if (engine.outstanding && engine.sent &&
      engine.state->last_order_id == engine.outstanding->order_id) {
    engine.outstanding.reset();
  }
  const bool watched = now < engine.watch_until;
  engine.next_read = now + (engine.outstanding ? m_options.confirm_interval
                            : watched          ? kIntentWatchInterval
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
  // If the reply was lost, only the state shows whether the order took effect.
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

// Reads engines with an outstanding order first, then those with the oldest read.
void EngineOrderPlanner::PlanReads(const Preset& preset, TimePoint now, PlannerActions* actions) {
  const std::chrono::duration<double> elapsed = now - m_read_tokens_updated;
  m_read_tokens_updated = now;
  m_read_tokens =
      std::min(kMaxReadBurst, m_read_tokens + elapsed.count() * m_options.reads_per_second);
  // Sort key: no outstanding order, time of the last read, upstream.
  std::vector<std::tuple<bool, TimePoint, std::string>> due;
  for (auto& [upstream, engine] : m_engines) {
    if (engine.read_pending && now - engine.read_started > m_options.read_timeout) {
      engine.read_pending = false;
    }
    const bool waits_for_send = engine.outstanding && !engine.sent;
    const bool once = !m_options.reconcile && engine.state.has_value() && !engine.outstanding;
    if (!engine.read_pending && !waits_for_send && !once && now >= engine.next_read) {
      due.emplace_back(!engine.outstanding, engine.read_started, upstream);
    }
  }
  const size_t count = std::min(due.size(), static_cast<size_t>(m_read_tokens));
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
  for (size_t i = 0; i < count; ++i) {
    m_read_tokens -= 1;
    const std::string& upstream = std::get<2>(due[i]);
    Engine& engine = m_engines[upstream];
    engine.read_pending = true;
    engine.read_started = now;
    actions->reads.push_back(EngineRead{upstream, preset.engines.at(upstream).address, now});
  }
}

bool EngineOrderPlanner::TakeLoadSlot(TimePoint now, int loads_per_minute) {
  const Milliseconds spacing(60000 / std::max(1, loads_per_minute));
  if (now - m_last_load < spacing) {
    return false;
  }
  m_last_load = now;
  return true;
}

}  // namespace azuregw
