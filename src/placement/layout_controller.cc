// Queries engines and orders layers according to the layout plan.

#include "azuregw/placement/layout_controller.h"

#include <algorithm>
#include <utility>

namespace azuregw {
namespace {

std::string FormatRange(const LayerRange& layers) {
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
  const TimePoint now = m_loop->Now();
  if (m_fleet->All().size() > m_known_upstreams) {
    m_last_growth = now;
  }
  m_known_upstreams = m_fleet->All().size();
  if (!m_leader_lease->Held()) {
    return;
  }
  if (m_fencing_token != m_leader_lease->FencingToken()) {
    m_fencing_token = m_leader_lease->FencingToken();
    m_orders.clear();
    m_leader_since = now;
  }
  if (now - m_leader_since < kSettlingTime || m_routes->Config() == nullptr) {
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
    if (record.service != service || upstream.contradictory || upstream.Leaving(now)) {
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
    engines.push_back({id, record.failure_domain, record.accelerator, layers,
                       layers.has_value() && !(layers == record.layers)});
  }
  const bool first_layout =
      std::none_of(engines.begin(), engines.end(),
                   [](const LayoutEngine& engine) { return engine.layers.has_value(); });
  if (first_layout && now - m_last_growth < kRegistrationTime &&
      now - m_leader_since < kMaxRegistrationTime) {
    return;
  }
  const std::vector<LayoutChange> changes = PlanLayout(profile, engines);
  for (const LayoutChange& change : changes) {
    const auto found = m_orders.find(change.id);
    if (found != m_orders.end() && (found->second.in_progress || now < found->second.until)) {
      continue;
    }
    if (!m_fleet->Find(change.id)->Accepts(now)) {
      continue;
    }
    const double share = static_cast<double>(change.layers.last - change.layers.first) /
                         static_cast<double>(profile.layers);
    const auto load_time = Milliseconds(static_cast<int64_t>(1000 * share * profile.weight_load_s));
    QueryEngine(change.id, change.layers, load_time);
  }
}

void LayoutController::QueryEngine(const std::string& id, const LayerRange& layers,
                                   Milliseconds load_time) {
  const Upstream* const upstream = m_fleet->Find(id);
  Order& order = m_orders[id];
  order = Order{upstream->record.started_ms, std::nullopt, true, m_loop->Now() + kRetryDelay};
  const uint64_t token = m_fencing_token;
  m_control->QueryReport(
      upstream->record.address, EngineControl::kReportTimeLimit,
      [this, id, layers, load_time, token](Result<EngineReport> state) {
        if (token != m_fencing_token || !m_leader_lease->Held()) {
          return;
        }
        Order& queried = m_orders[id];
        queried.in_progress = false;
        if (!state) {
          m_log->Write("engine_unreachable", {{"upstream", id}, {"reason", state.error().message}},
                       false);
          return;
        }
        const bool same_layers = state.value().layers && m_fleet->Find(id) != nullptr &&
                                 m_fleet->Find(id)->record.layers == state.value().layers;
        if (state.value().layers && !same_layers) {
          // The list is older than the engine's report.
          queried.layers = state.value().layers;
          queried.until = m_loop->Now() + kMaxListingDelay;
          return;
        }
        if (!state.value().busy) {
          OrderLayers(id, layers, load_time, state.value());
        }
      });
}

void LayoutController::OrderLayers(const std::string& id, const LayerRange& layers,
                                   Milliseconds load_time, const EngineReport& state) {
  const Upstream* const upstream = m_fleet->Find(id);
  if (upstream == nullptr) {
    return;
  }
  PlacementOrder placement_order;
  placement_order.id = id;
  placement_order.address = upstream->record.address;
  placement_order.layers = layers;
  placement_order.fencing_token = m_fencing_token;
  placement_order.expected_sequence = state.order_sequence;
  Order& order = m_orders[id];
  order.in_progress = true;
  order.layers = layers;
  // Concurrent loads share the bandwidth of the weight store and may take several times as long.
  order.until = m_loop->Now() + load_time * 3 + kMaxListingDelay;
  const uint64_t token = m_fencing_token;
  m_control->Place(placement_order, [this, id, layers, token, load_time,
                                     sequence = state.order_sequence](OrderOutcome outcome) {
    m_log->Write("layers_ordered",
                 {{"upstream", id},
                  {"layers", FormatRange(layers)},
                  {"fencing_token", token},
                  {"expected_sequence", sequence},
                  {"outcome", OutcomeName(outcome)}},
                 true);
    if (token != m_fencing_token) {
      return;
    }
    Order& placed = m_orders[id];
    placed.in_progress = false;
    const Upstream* const ordered = m_fleet->Find(id);
    if (outcome == OrderOutcome::kStarted && ordered != nullptr && ordered->record.layers) {
      // The engine refuses new requests from now on, while the list still shows its old layers.
      m_fleet->MarkFull(id, load_time + kMaxListingDelay / 2, m_loop->Now());
    }
    if (outcome == OrderOutcome::kFenced) {
      m_leader_lease->StepDown("an engine has seen a higher fencing token");
      return;
    }
    if (outcome != OrderOutcome::kStarted && outcome != OrderOutcome::kHolds) {
      // An order without a reply may still start later. It carries the expected order sequence, so
      // that after a new state query and a second order at most one of them starts.
      placed.layers.reset();
      placed.until = m_loop->Now() + kRetryDelay;
    }
  });
}

}  // namespace azuregw
