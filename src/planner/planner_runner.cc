// Planner thread: keeps the lease, takes over from earlier holders, writes intents and calls
// engines.

#include "azuregw/planner/planner_runner.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "azuregw/base/random.h"
#include "azuregw/base/rendezvous.h"
#include "planner/planner_lease.h"

namespace azuregw {
namespace {

constexpr char kIntentPrefix[] = "azuregw/intents/";

std::string EncodeIntent(const EngineOrder& order) {
  return nlohmann::json{{"order_id", order.order_id},
                        {"order", static_cast<int>(order.kind)},
                        {"argument", order.argument},
                        {"fencing", order.fencing}}
      .dump();
}

// Returns whether the instance may acquire the lease. The number of candidates is fixed so that the
// load on the key-value service does not grow with the fleet.
bool IsCandidate(const Snapshot& snapshot, const std::string& instance) {
  constexpr size_t kCandidates = 2;
  std::vector<std::string> names;
  for (const MemberView& member : snapshot.members) {
    if (!member.leaving) {
      names.push_back(member.name);
    }
  }
  if (names.empty()) {
    return true;  // While no members are known, every instance may acquire the lease.
  }
  const std::vector<size_t> top = RendezvousTop("planner", names, kCandidates);
  return std::any_of(top.begin(), top.end(),
                     [&](size_t index) { return names[index] == instance; });
}

// Passes replies of engines from the threads of the engine client to the planner thread. Shared
// with pending calls, which may outlive the runner.
struct ReplyQueue {
  std::mutex mutex;
  std::vector<std::function<void(EngineOrderPlanner*, TimePoint)>> replies;

  void Push(std::function<void(EngineOrderPlanner*, TimePoint)> reply) {
    const std::lock_guard<std::mutex> lock(mutex);
    replies.push_back(std::move(reply));
  }
};

class PlannerRunnerImpl final : public PlannerRunner {
 public:
  PlannerRunnerImpl(PlannerRunnerOptions options, PlannerRunnerDependencies dependencies)
      : m_options(std::move(options)),
        m_dependencies(dependencies),
        m_lease(m_options.instance, m_options.lease_ttl, dependencies.kv, dependencies.clock),
        m_planner(m_options.planner, MakeUniqueId),
        m_replies(std::make_shared<ReplyQueue>()) {}
  ~PlannerRunnerImpl() override { Stop(); }

  void Start() override;
  void Stop() override;
  void Step() override;
  bool HoldsLease() const override { return m_holds_lease; }

 private:
  TimePoint Now() const { return m_dependencies.clock->Now(); }
  // Renews or acquires the lease. Returns whether it is held.
  bool EnsureLease();
  // Reads the intents of earlier lease holders and starts planning. Returns false on failure.
  bool TakeOver();
  void HandleReplies();
  // Sends a state read; the reply arrives in m_replies.
  void RequestState(const EngineRead& read);
  // Writes the intent if needed, confirms the lease and sends the order.
  void IssueOrder(const EngineOrderSend& send);
  // Writes the intent of an order by compare-and-swap.
  Result<void> WriteIntent(const EngineOrderSend& send);
  void Record(std::string_view event, const std::string& detail, ResultCode code) const;

  const PlannerRunnerOptions m_options;
  const PlannerRunnerDependencies m_dependencies;
  PlannerLease m_lease;
  EngineOrderPlanner m_planner;
  const std::shared_ptr<ReplyQueue> m_replies;
  std::map<std::string, uint64_t> m_intents;  // Revision of each upstream's intent.
  TimePoint m_next_acquire{};  // Earliest time of the next attempt to obtain the lease.
  std::atomic<bool> m_holds_lease{false};
  std::mutex m_mutex;
  std::condition_variable m_stop_signal;
  bool m_stopping = false;  // Guarded by m_mutex.
  std::thread m_thread;
};

void PlannerRunnerImpl::Start() {
  m_thread = std::thread([this] {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stop_signal.wait_for(lock, m_options.step_interval, [this] { return m_stopping; })) {
      lock.unlock();
      Step();
      lock.lock();
    }
  });
}

void PlannerRunnerImpl::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_stop_signal.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void PlannerRunnerImpl::Step() {
  HandleReplies();
  m_holds_lease = EnsureLease();
  const std::shared_ptr<const Snapshot> snapshot = m_dependencies.snapshots->Current();
  if (!m_holds_lease || snapshot->preset == nullptr) {
    return;
  }
  const PlannerActions actions = m_planner.Tick(*snapshot->preset, Now());
  for (const EngineRead& read : actions.reads) {
    RequestState(read);
  }
  for (const EngineOrderSend& send : actions.orders) {
    IssueOrder(send);
  }
}

bool PlannerRunnerImpl::EnsureLease() {
  if (m_planner.HoldsLease() && m_lease.RenewIfDue()) {
    return true;
  }
  if (m_planner.HoldsLease()) {
    Record("planner_lease_lost", "", ResultCode::kLeaseLapsed);
  }
  m_planner.OnLeaseLost();
  const std::shared_ptr<const Snapshot> snapshot = m_dependencies.snapshots->Current();
  if (snapshot->draining || Now() < m_next_acquire || !IsCandidate(*snapshot, m_options.instance)) {
    return false;
  }
  m_next_acquire = Now() + m_options.acquire_interval;
  return m_lease.TryAcquire() && TakeOver();
}

// Reads the intents only after the lease was obtained, so that they include every order that an
// earlier holder may have sent to an engine that does not check fencing tokens.
bool PlannerRunnerImpl::TakeOver() {
  const auto entries = m_dependencies.kv->List(kIntentPrefix);
  if (!entries) {
    m_lease.Drop();
    return false;
  }
  m_intents.clear();
  std::vector<std::string> intent_upstreams;
  for (const KvEntry& entry : entries.value()) {
    const std::string upstream = entry.key.substr(sizeof(kIntentPrefix) - 1);
    m_intents[upstream] = entry.revision;
    intent_upstreams.push_back(upstream);
  }
  m_planner.OnLeaseObtained(m_lease.Fencing(), intent_upstreams, Now());
  Record("planner_lease_obtained", "fencing " + std::to_string(m_lease.Fencing()), ResultCode::kOk);
  return true;
}

void PlannerRunnerImpl::HandleReplies() {
  std::vector<std::function<void(EngineOrderPlanner*, TimePoint)>> replies;
  {
    const std::lock_guard<std::mutex> lock(m_replies->mutex);
    replies.swap(m_replies->replies);
  }
  for (const auto& reply : replies) {
    reply(&m_planner, Now());
  }
}

void PlannerRunnerImpl::RequestState(const EngineRead& read) {
  m_dependencies.engines->FetchState(
      read.address, [replies = m_replies, read](const Result<EngineState>& state) {
        replies->Push([read, state](EngineOrderPlanner* planner, TimePoint now) {
          planner->OnState(read, state, now);
        });
      });
}

void PlannerRunnerImpl::IssueOrder(const EngineOrderSend& send) {
  if (send.needs_intent) {
    const Result<void> written = WriteIntent(send);
    if (!written) {
      m_planner.OnOrderResult(send.upstream, send.order.order_id, written.error(), Now());
      return;
    }
  }
  if (m_options.confirm_lease && !m_lease.Confirm()) {
    m_planner.OnOrderResult(send.upstream, send.order.order_id,
                            NotRun(ResultCode::kLeaseLapsed, "lease not confirmed"), Now());
    return;
  }
  Record("engine_order", send.upstream + " " + send.order.argument, ResultCode::kOk);
  m_dependencies.engines->SendOrder(
      send.address, send.order,
      [replies = m_replies, upstream = send.upstream,
       order_id = send.order.order_id](const Result<bool>& result) {
        replies->Push([upstream, order_id, result](EngineOrderPlanner* planner, TimePoint now) {
          planner->OnOrderResult(upstream, order_id, result, now);
        });
      });
}

Result<void> PlannerRunnerImpl::WriteIntent(const EngineOrderSend& send) {
  const std::string key = kIntentPrefix + send.upstream;
  const std::string value = EncodeIntent(send.order);
  const Result<uint64_t> written =
      m_dependencies.kv->CompareAndSwap(key, m_intents[send.upstream], value, "");
  if (written) {
    m_intents[send.upstream] = written.value();
    return boost::outcome_v2::success();
  }
  const auto found = m_dependencies.kv->Get(key);
  if (found && found.value()) {
    m_intents[send.upstream] = found.value()->revision;
    if (found.value()->value == value) {
      return boost::outcome_v2::success();  // The intent was written; only the reply was lost.
    }
  }
  return NotRun(written.error().code, written.error().message);
}

void PlannerRunnerImpl::Record(std::string_view event, const std::string& detail,
                               ResultCode code) const {
  if (m_dependencies.events != nullptr) {
    m_dependencies.events->Record("planner", event, "", detail, code);
  }
}

}  // namespace

std::unique_ptr<PlannerRunner> MakePlannerRunner(PlannerRunnerOptions options,
                                                 PlannerRunnerDependencies dependencies) {
  return std::make_unique<PlannerRunnerImpl>(std::move(options), dependencies);
}

}  // namespace azuregw
