// Admission decisions and queueing per target.

#include "admission/admission_core.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "admission/capacity.h"

namespace azuregw {
namespace {

constexpr double kSmoothing = 0.1;              // Weight of a new sample in moving averages.
constexpr double kFirstResultHalfLifeMs = 500;  // Decay of the estimate without new results.
constexpr double kMinRetryAfterMs = 10;
constexpr double kMaxRetryAfterMs = 60000;
// Allowance above a workspace's even share of max_inflight, in standard deviations of the load that
// a randomizing load balancer sends to one instance.
constexpr double kInflightDeviations = 2;

// Updates an exponential moving average; 0 means no samples yet.
void UpdateAverage(double sample, double* average) {
  *average = *average == 0 ? sample : *average + kSmoothing * (sample - *average);
}

double ToMilliseconds(TimePoint::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the part of a workspace's limit that applies to one instance.
int InstanceShare(int max_inflight, int instances) {
  if (instances <= 1) {
    return max_inflight;
  }
  const double share = static_cast<double>(max_inflight) / instances;
  return static_cast<int>(std::ceil(share + kInflightDeviations * std::sqrt(share)));
}

// Releases its request in the core when it is destroyed.
class Ticket final : public AdmissionTicket {
 public:
  Ticket(std::shared_ptr<AdmissionCore> core, std::string target, std::string workspace,
         TimePoint admitted)
      : m_core(std::move(core)),
        m_target(std::move(target)),
        m_workspace(std::move(workspace)),
        m_admitted(admitted) {}
  ~Ticket() override { m_core->Release(m_target, m_workspace, m_admitted); }

  void OnFirstResult(Milliseconds latency) override {
    m_core->OnFirstResult(m_target, m_admitted, latency);
  }
  void OnOverload() override { m_core->OnOverload(m_target); }

 private:
  const std::shared_ptr<AdmissionCore> m_core;
  const std::string m_target;
  const std::string m_workspace;
  const TimePoint m_admitted;
};

}  // namespace

void AdmissionCore::Admit(const Snapshot& snapshot, const AdmissionRequest& request, TimePoint now,
                          AdmissionController::Callback done) {
  if (snapshot.preset == nullptr) {
    done(NotRun(ResultCode::kNoPreset, "no preset is in force"));
    return;
  }
  Actions actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Configure(snapshot);
    Target& target = FindTarget(request.target);
    Workspace& workspace = FindWorkspace(request.workspace);
    const std::string flow = m_options.fair_queueing ? request.workspace : std::string();
    const double weight = m_options.fair_queueing ? workspace.weight : 1.0;
    const int priority =
        m_options.fair_queueing ? std::min(request.priority, workspace.priority) : 5;
    WaitingRequest waiting{request.workspace, flow, priority, request.deadline, std::move(done)};
    const size_t ahead = target.queue.CountAhead(flow, weight, priority);
    const bool below_share = target.queue.BelowShare(flow, weight);
    const bool free = target.inflight < InflightLimit(target, below_share);
    const bool start = free && ahead == 0;
    const double wait_ms = start ? 0 : WaitMs(target, ahead);
    target.retries.OnFirstAttempt(now);
    if (request.resumed) {
      ++workspace.accepted;
      target.queue.Charge(flow, weight);
      Start(request.target, &target, std::move(waiting), now, &actions);
    } else if (workspace.accepted >= workspace.max_inflight) {
      Error error = NotRun(ResultCode::kWorkspaceLimit,
                           "workspace " + request.workspace + " has its limit of " +
                               std::to_string(workspace.max_inflight) +
                               " requests in progress at this instance");
      error.retry_after = RetryAfterHint(target, request.workspace,
                                         target.hold_ms / std::max(1, workspace.accepted), now);
      Refuse(std::move(waiting), std::move(error), &actions);
    } else if (!CanMeetDeadline(target, wait_ms, request.deadline, now)) {
      Refuse(std::move(waiting),
             DeadlineError(target, request.workspace, wait_ms, request.deadline, now), &actions);
    } else if (start) {
      ++workspace.accepted;
      target.queue.Charge(flow, weight);
      Start(request.target, &target, std::move(waiting), now, &actions);
    } else {
      Enqueue(&target, std::move(waiting), weight, wait_ms, now, &actions);
    }
  }
  Run(std::move(actions));
}

void AdmissionCore::Enqueue(Target* target, WaitingRequest request, double weight, double wait_ms,
                            TimePoint now, Actions* actions) {
  if (target->queue.size() >= m_options.max_waiting) {
    const auto refuse = [&](WaitingRequest refused) {
      Error error = NotRun(ResultCode::kOverloaded, "too many requests are waiting");
      const double left_ms = ToMilliseconds(refused.deadline - now);
      error.retry_after = RetryAfterHint(*target, refused.workspace,
                                         wait_ms + target->HighFirstResultMs(now) - left_ms, now);
      Refuse(std::move(refused), std::move(error), actions);
    };
    std::optional<WaitingRequest> victim = target->queue.EvictFor(request.flow, weight);
    if (!victim.has_value()) {
      refuse(std::move(request));
      return;
    }
    --m_workspaces[victim->workspace].accepted;
    refuse(*std::move(victim));
  }
  ++m_workspaces[request.workspace].accepted;
  target->queue.Push(std::move(request), weight);
}

void AdmissionCore::Tick(TimePoint now) {
  Actions actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, target] : m_targets) {
      // A new upstream raises the limit without a release.
      StartWaiting(name, &target, now, &actions);
      if (!target.queue.empty()) {
        std::vector<WaitingRequest> expired =
            target.queue.RemoveIf([this, &target = target, now](const WaitingRequest& request) {
              return !CanMeetDeadline(target, 0, request.deadline, now);
            });
        for (WaitingRequest& request : expired) {
          --m_workspaces[request.workspace].accepted;
          Error error = DeadlineError(target, request.workspace,
                                      WaitMs(target, target.queue.size()), request.deadline, now);
          Refuse(std::move(request), std::move(error), &actions);
        }
      }
      target.queue.Compact();
    }
  }
  Run(std::move(actions));
}

void AdmissionCore::Shutdown() {
  Actions actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [name, target] : m_targets) {
      for (WaitingRequest& request : target.queue.RemoveIf([](const auto&) { return true; })) {
        --m_workspaces[request.workspace].accepted;
        Refuse(std::move(request), NotRun(ResultCode::kDraining, "the instance is shutting down"),
               &actions);
      }
    }
  }
  Run(std::move(actions));
}

bool AdmissionCore::TakeRetry(const std::string& target, TimePoint now) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const int percent = m_preset == nullptr ? 0 : m_preset->limits.retry_budget_percent;
  return FindTarget(target).retries.Take(percent, now);
}

void AdmissionCore::OnFirstResult(const std::string& name, TimePoint admitted,
                                  Milliseconds latency) {
  const TimePoint now = m_clock.Now();
  // Excludes the time spent waiting for admission, which would lower the limit and so lengthen the
  // wait.
  latency = std::min(latency, std::chrono::duration_cast<Milliseconds>(now - admitted));
  const std::lock_guard<std::mutex> lock(m_mutex);
  Target& target = FindTarget(name);
  const auto ms = static_cast<double>(latency.count());
  target.deviation_ms += kSmoothing * (std::abs(ms - target.first_ms) - target.deviation_ms);
  UpdateAverage(ms, &target.first_ms);
  target.last_result = now;
  if (m_options.adapt_limit) {
    target.limit.OnResult(latency, target.inflight, now);
  }
}

void AdmissionCore::OnOverload(const std::string& name) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Target& target = FindTarget(name);
  if (m_options.adapt_limit) {
    target.limit.OnOverload(target.inflight, m_clock.Now());
  }
}

void AdmissionCore::Release(const std::string& name, const std::string& workspace,
                            TimePoint admitted) {
  const TimePoint now = m_clock.Now();
  Actions actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    Target& target = FindTarget(name);
    assert(target.inflight > 0);
    --target.inflight;
    --m_workspaces[workspace].accepted;
    UpdateAverage(std::max(1e-3, ToMilliseconds(now - admitted)), &target.hold_ms);
    StartWaiting(name, &target, now, &actions);
  }
  Run(std::move(actions));
}

void AdmissionCore::Configure(const Snapshot& snapshot) {
  const int instances = std::max<int>(1, static_cast<int>(snapshot.members.size()));
  const bool older = snapshot.topology_revision < m_topology_revision ||
                     (m_preset != nullptr && snapshot.preset_revision < m_preset_revision);
  const bool same = snapshot.preset == m_preset &&
                    snapshot.topology_revision == m_topology_revision && instances == m_instances;
  if (older || same) {
    return;
  }
  m_preset = snapshot.preset;
  m_preset_revision = snapshot.preset_revision;
  m_topology_revision = snapshot.topology_revision;
  m_instances = instances;
  m_capacities = TargetCapacities(snapshot);
  for (auto& [name, target] : m_targets) {
    SetCapacity(name, &target);
  }
  for (auto entry = m_workspaces.begin(); entry != m_workspaces.end();) {
    const bool unused =
        entry->second.accepted == 0 && m_preset->workspaces.count(entry->first) == 0;
    if (unused) {
      entry = m_workspaces.erase(entry);
    } else {
      ApplySpec(entry->first, &entry->second);
      ++entry;
    }
  }
}

void AdmissionCore::SetCapacity(const std::string& name, Target* target) const {
  const auto capacity = m_capacities.find(name);
  target->limit.SetCapacity(capacity == m_capacities.end() ? 1 : capacity->second, m_instances);
}

void AdmissionCore::ApplySpec(const std::string& name, Workspace* workspace) const {
  const auto found = m_preset->workspaces.find(name);
  const WorkspaceSpec spec = found == m_preset->workspaces.end() ? WorkspaceSpec() : found->second;
  workspace->max_inflight = InstanceShare(spec.max_inflight, m_instances);
  workspace->weight = std::max(spec.weight, 1e-3);
  workspace->priority = spec.priority;
}

AdmissionCore::Target& AdmissionCore::FindTarget(const std::string& name) {
  const auto [entry, added] = m_targets.try_emplace(name, m_options);
  if (added) {
    SetCapacity(name, &entry->second);
  }
  return entry->second;
}

AdmissionCore::Workspace& AdmissionCore::FindWorkspace(const std::string& name) {
  const auto [entry, added] = m_workspaces.try_emplace(name);
  if (added) {
    ApplySpec(name, &entry->second);
  }
  return entry->second;
}

void AdmissionCore::Start(const std::string& name, Target* target, WaitingRequest request,
                          TimePoint now, Actions* actions) {
  ++target->inflight;
  auto ticket = std::make_shared<Ticket>(shared_from_this(), name, request.workspace, now);
  actions->push_back([done = std::move(request.done), ticket = std::move(ticket)]() mutable {
    done(std::shared_ptr<AdmissionTicket>(std::move(ticket)));
  });
}

void AdmissionCore::StartWaiting(const std::string& name, Target* target, TimePoint now,
                                 Actions* actions) {
  while (!target->queue.empty() &&
         target->inflight < InflightLimit(*target, target->queue.NextIsBelowShare())) {
    WaitingRequest request = *target->queue.Pop();
    if (CanMeetDeadline(*target, 0, request.deadline, now)) {
      Start(name, target, std::move(request), now, actions);
    } else {
      --m_workspaces[request.workspace].accepted;
      Error error = DeadlineError(*target, request.workspace, WaitMs(*target, target->queue.size()),
                                  request.deadline, now);
      Refuse(std::move(request), std::move(error), actions);
    }
  }
}

int AdmissionCore::InflightLimit(const Target& target, bool below_share) const {
  const int limit = target.limit.Limit();
  if (below_share || target.queue.FlowCount() < 2) {
    return limit;
  }
  return std::max(1, limit - static_cast<int>(std::lround(m_options.reserve * limit)));
}

void AdmissionCore::Refuse(WaitingRequest request, Error error, Actions* actions) {
  actions->push_back([done = std::move(request.done), error = std::move(error)]() { done(error); });
}

double AdmissionCore::Target::HighFirstResultMs(TimePoint now) const {
  const double age_ms = std::max(0.0, ToMilliseconds(now - last_result));
  return (first_ms + 2 * deviation_ms) * std::exp2(-age_ms / kFirstResultHalfLifeMs);
}

double AdmissionCore::WaitMs(const Target& target, size_t ahead) const {
  // Requests complete at the rate limit / hold time.
  return static_cast<double>(ahead + 1) * target.hold_ms / target.limit.Limit();
}

bool AdmissionCore::CanMeetDeadline(const Target& target, double wait_ms, TimePoint deadline,
                                    TimePoint now) const {
  const double left_ms = ToMilliseconds(deadline - now);
  if (left_ms <= 0) {
    return false;
  }
  return !m_options.check_deadlines || wait_ms + target.HighFirstResultMs(now) <= left_ms;
}

Error AdmissionCore::DeadlineError(const Target& target, const std::string& workspace,
                                   double wait_ms, TimePoint deadline, TimePoint now) {
  const double left_ms = ToMilliseconds(deadline - now);
  Error error =
      NotRun(ResultCode::kDeadlineUnreachable, "the deadline would pass before the first result");
  error.retry_after =
      RetryAfterHint(target, workspace, wait_ms + target.HighFirstResultMs(now) - left_ms, now);
  return error;
}

Milliseconds AdmissionCore::RetryAfterHint(const Target& target, const std::string& workspace,
                                           double ms, TimePoint now) {
  double retry_after_ms = std::clamp(ms, kMinRetryAfterMs, kMaxRetryAfterMs);
  if (m_options.spread_retry_after) {
    Workspace& entry = m_workspaces[workspace];
    double active_weight = entry.weight;
    for (const auto& [name, other] : m_workspaces) {
      active_weight += other.accepted > 0 && &other != &entry ? other.weight : 0;
    }
    const double interval_ms = target.hold_ms / target.limit.Limit() * active_weight / entry.weight;
    retry_after_ms =
        std::max(retry_after_ms, ToMilliseconds(entry.next_retry_at - now) + interval_ms);
    retry_after_ms = std::min(retry_after_ms, kMaxRetryAfterMs);
    entry.next_retry_at = now + std::chrono::duration_cast<TimePoint::duration>(
                                    std::chrono::duration<double, std::milli>(retry_after_ms));
  }
  return Milliseconds(static_cast<int64_t>(std::ceil(retry_after_ms)));
}

void AdmissionCore::Run(Actions actions) {
  // A callback may destroy a ticket, which starts more requests. Their callbacks are appended to
  // the running list, because nested calls would recurse as deep as the queue is long.
  thread_local Actions* running = nullptr;
  if (running != nullptr) {
    std::move(actions.begin(), actions.end(), std::back_inserter(*running));
    return;
  }
  running = &actions;
  for (size_t i = 0; i < actions.size(); ++i) {
    const std::function<void()> action = std::move(actions[i]);
    action();
  }
  running = nullptr;
}

}  // namespace azuregw
