// Event loop and request lifecycle of the overload simulation.

#include "tests/admission/overload_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azuregw {
namespace {

constexpr double kTickIntervalS = 0.01;

std::shared_ptr<const Snapshot> MakeSnapshot(const OverloadOptions& options,
                                             const std::vector<Demand>& demands) {
  auto preset = std::make_shared<Preset>();
  ServiceUpstreamSpec upstream{"u", "s", "127.0.0.1:1", "fd-a", options.preset_capacity};
  preset->service_upstreams["u"] = upstream;
  for (const Demand& demand : demands) {
    WorkspaceSpec& workspace = preset->workspaces[demand.workspace];
    workspace.weight = demand.weight;
    workspace.max_inflight = demand.max_inflight;
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->preset = preset;
  snapshot->members.resize(static_cast<size_t>(options.instances));
  return snapshot;
}

}  // namespace

OverloadSimulation::OverloadSimulation(const OverloadOptions& options, std::vector<Demand> demands)
    : m_options(options),
      m_demands(std::move(demands)),
      m_random(MakeRandom(options.seed)),
      m_snapshot(MakeSnapshot(options, m_demands)) {
  for (int i = 0; i < options.instances; ++i) {
    m_controllers.push_back(MakeAdmissionController(m_clock, options.admission));
  }
}

double OverloadSimulation::CapacityPerS() const {
  return m_options.real_capacity * 1000.0 / (m_options.first_result_ms + m_options.hold_ms);
}

OverloadFigures OverloadSimulation::Run() {
  for (const Demand& demand : m_demands) {
    Arrive(demand);
  }
  At(0, [this] { Tick(); });
  while (!m_events.empty()) {
    std::pop_heap(m_events.begin(), m_events.end());
    const Event event = std::move(m_events.back());
    m_events.pop_back();
    if (event.at > m_options.seconds) {
      break;
    }
    m_now = event.at;
    m_clock.now =
        TimePoint(std::chrono::hours(1)) +
        std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(m_now));
    event.action();
  }
  OverloadFigures figures = m_figures;
  const double measured_s = m_options.seconds - m_options.warm_up_s;
  for (const auto& [name, workspace] : figures.workspaces) {
    figures.goodput_per_s += workspace.in_time / measured_s;
    figures.late_per_s += workspace.late / measured_s;
    figures.refused_per_s += workspace.refused / measured_s;
  }
  figures.refusal_wait_mean_ms = m_refusals == 0 ? 0 : m_refusal_wait_ms / m_refusals;
  std::sort(m_first_ms.begin(), m_first_ms.end());
  figures.first_result_p95_ms = m_first_ms.empty() ? 0 : m_first_ms[m_first_ms.size() * 95 / 100];
  return figures;
}

void OverloadSimulation::At(double seconds, std::function<void()> action) {
  m_events.push_back({seconds, m_next_event++, std::move(action)});
  std::push_heap(m_events.begin(), m_events.end());
}

void OverloadSimulation::Arrive(const Demand& demand) {
  const bool burst = m_now >= m_options.burst_from_s && m_now < m_options.burst_to_s;
  const double rate = demand.requests_per_s * (burst ? m_options.burst : 1.0);
  const double wait = -std::log(1.0 - m_random->Unit()) / rate;
  At(m_now + wait, [this, demand] {
    auto request = std::make_shared<Request>();
    request->workspace = demand.workspace;
    request->instance = 0;
    if (m_random->Unit() >= m_options.first_instance_share) {
      request->instance = 1 + m_random->Below(static_cast<uint64_t>(m_options.instances - 1));
    }
    request->arrived = m_now;
    if (Measured(*request)) {
      ++m_figures.workspaces[demand.workspace].offered;
    }
    Submit(request);
    Arrive(demand);
  });
}

void OverloadSimulation::Submit(const RequestPtr& request) {
  if (!m_options.use_admission) {
    request->admitted = m_now;
    EnqueueInPool(request);
    return;
  }
  AdmissionRequest admission;
  admission.workspace = request->workspace;
  admission.target = "service/s";
  admission.deadline = m_clock.now + Milliseconds(static_cast<int64_t>(m_options.deadline_ms));
  m_controllers[request->instance]->Admit(m_snapshot, admission, m_clock.now,
                                          [this, request](auto result) {
                                            if (result.has_error()) {
                                              OnRefused(request, result.error());
                                              return;
                                            }
                                            request->ticket = result.value();
                                            request->admitted = m_now;
                                            EnqueueInPool(request);
                                          });
}

void OverloadSimulation::OnRefused(const RequestPtr& request, const Error& error) {
  if (Measured(*request) && !request->is_retry) {
    ++m_refusals;
    m_refusal_wait_ms += (m_now - request->arrived) * 1000;
    ++m_figures.workspaces[request->workspace].refused;
  }
  if (!m_options.retry_after_refusal || request->is_retry || !error.retry_after.has_value()) {
    return;
  }
  const double retry_after_s = std::chrono::duration<double>(*error.retry_after).count();
  auto retry = std::make_shared<Request>(*request);
  retry->is_retry = true;
  At(m_now + retry_after_s, [this, retry] {
    retry->arrived = m_now;
    m_figures.retries += Measured(*retry) ? 1 : 0;
    Submit(retry);
  });
}

void OverloadSimulation::EnqueueInPool(const RequestPtr& request) {
  if (m_running < m_options.real_capacity) {
    StartInPool(request);
  } else {
    m_pool_queue.push_back(request);
  }
}

void OverloadSimulation::StartInPool(const RequestPtr& request) {
  ++m_running;
  At(m_now + m_options.first_result_ms / 1000, [this, request] { FirstResult(request); });
}

void OverloadSimulation::FirstResult(const RequestPtr& request) {
  if (request->ticket != nullptr) {
    const double ms = (m_now - request->admitted) * 1000;
    request->ticket->OnFirstResult(Milliseconds(static_cast<int64_t>(ms)));
  }
  const double total_ms = (m_now - request->arrived) * 1000;
  const bool in_time = total_ms <= m_options.deadline_ms;
  if (Measured(*request)) {
    WorkspaceFigures& workspace = m_figures.workspaces[request->workspace];
    ++(in_time ? workspace.in_time : workspace.late);
    m_figures.retries_in_time += in_time && request->is_retry ? 1 : 0;
    m_first_ms.push_back(total_ms);
  }
  const double hold_ms = -std::log(1.0 - m_random->Unit()) * m_options.hold_ms;
  At(m_now + hold_ms / 1000, [this, request] { FinishInPool(request); });
}

void OverloadSimulation::FinishInPool(const RequestPtr& request) {
  --m_running;
  if (!m_pool_queue.empty()) {
    const RequestPtr next = m_pool_queue.front();
    m_pool_queue.pop_front();
    StartInPool(next);
  }
  request->ticket.reset();
}

void OverloadSimulation::Tick() {
  At(m_now + kTickIntervalS, [this] { Tick(); });
  for (const auto& controller : m_controllers) {
    controller->Tick(m_clock.now);
  }
}

}  // namespace azuregw
