// Orders layers.

#include "azuregw/placement/layout_controller.h"

#include <utility>

namespace azuregw {
namespace {

std::string RangeText(const LayerRange& layers) {
  return std::to_string(layers.first) + "-" + std::to_string(layers.last);
}

std::string_view OutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kStarted:
      return "started";
    case OrderOutcome::kHolds:
      return "holds";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOtherEngine:
      return "other_engine";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

}  // namespace

void LayoutController::Tick() {
  m_timer = m_loop->After(kPlanInterval, [this] { Tick(); });
  if (!m_duty->Held()) {
    return;
  }
  const TimePoint now = m_loop->Now();
  if (m_token != m_duty->FencingToken()) {
    m_token = m_duty->FencingToken();
    m_orders.clear();
    m_taken = now;
  }
  if (now - m_taken < kSettlingTime || m_routes->Config() == nullptr) {
    return;
  }
  for (const auto& [name, service] : m_routes->Config()->services) {
    if (service.engine) {
      Plan(name, *service.engine);
    }
  }
}

void LayoutController::Plan(const std::string& service, const EngineProfile& profile) {
  const TimePoint now = m_loop->Now();
  std::vector<LayoutEngine> engines;
  for (const auto& [id, upstream] : m_fleet->All()) {
    const UpstreamRecord& record = upstream.record;
    if (record.service != service || record.draining) {
      continue;
    }
    std::optional<LayerRange> layers = record.layers;
    const auto found = m_orders.find(id);
    if (found != m_orders.end()) {
      Order& order = found->second;
      if (order.started_ms != record.started_ms) {
        m_orders.erase(found);
      } else if (order.layers && now < order.until) {
        layers = order.layers;
      } else if (order.layers && !order.in_progress) {
        m_orders.erase(found);
      }
    }
    engines.push_back({id, record.failure_domain, record.accelerator, layers});
  }
  const std::vector<LayoutChange> changes = PlanLayout(profile, engines);
  for (const LayoutChange& change : changes) {
    const auto found = m_orders.find(change.id);
    if (found != m_orders.end() && (found->second.in_progress || now < found->second.until)) {
      continue;
    }
    const double share = static_cast<double>(change.layers.last - change.layers.first) /
                         static_cast<double>(profile.layers);
    const auto load_time = Milliseconds(static_cast<int64_t>(1000 * share * profile.weight_load_s));
    Ask(change.id, change.layers, load_time);
  }
}

void LayoutController::Ask(const std::string& id, const LayerRange& layers,
                           Milliseconds load_time) {
  const Upstream* const upstream = m_fleet->Find(id);
  Order& order = m_orders[id];
  order = Order{upstream->record.started_ms, std::nullopt, true, m_loop->Now() + kRetryDelay};
  const uint64_t token = m_token;
  m_control->QueryReport(
      upstream->record.address, EngineControl::kReportTimeLimit,
      [this, id, layers, load_time, token](Result<EngineReport> state) {
        if (token != m_token || !m_duty->Held()) {
          return;
        }
        Order& asked = m_orders[id];
        asked.in_progress = false;
        if (!state) {
          m_log->Write("engine_unreachable", {{"upstream", id}, {"reason", state.error().message}},
                       false);
          return;
        }
        const bool same_layers = state.value().layers && m_fleet->Find(id) != nullptr &&
                                 m_fleet->Find(id)->record.layers == state.value().layers;
        if (state.value().layers && !same_layers) {
          // The list is older than the report.
          asked.layers = state.value().layers;
          asked.until = m_loop->Now() + kMaxListingDelay;
          return;
        }
        if (!state.value().busy) {
          Place(id, layers, load_time, state.value());
        }
      });
}

void LayoutController::Place(const std::string& id, const LayerRange& layers,
                             Milliseconds load_time, const EngineReport& state) {
  const Upstream* const upstream = m_fleet->Find(id);
  if (upstream == nullptr) {
    return;
  }
  PlaceOrder place;
  place.id = id;
  place.address = upstream->record.address;
  place.layers = layers;
  place.fencing_token = m_token;
  place.expected_sequence = state.order_sequence;
  Order& order = m_orders[id];
  order.in_progress = true;
  order.layers = layers;
  // Loads that run together share the weight store, so they may take several times as long.
  order.until = m_loop->Now() + load_time * 3 + kMaxListingDelay;
  const uint64_t token = m_token;
  m_control->Place(
      place, [this, id, layers, token, sequence = state.order_sequence](OrderOutcome outcome) {
        m_log->Write("layers_ordered",
                     {{"upstream", id},
                      {"layers", RangeText(layers)},
                      {"fencing_token", token},
                      {"expected_sequence", sequence},
                      {"outcome", OutcomeName(outcome)}},
                     true);
        if (token != m_token) {
          return;
        }
        Order& placed = m_orders[id];
        placed.in_progress = false;
        if (outcome == OrderOutcome::kFenced) {
          m_duty->StepDown("an engine has seen a higher fencing token");
          return;
        }
        if (outcome != OrderOutcome::kStarted && outcome != OrderOutcome::kHolds) {
          // An unanswered order may still begin. It names the sequence that it expects, so asking
          // for the state first and ordering again cannot start both.
          placed.layers.reset();
          placed.until = m_loop->Now() + kRetryDelay;
        }
      });
}

}  // namespace azuregw
