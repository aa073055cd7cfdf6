// Thread that reports and writes refusals.

#include "azuregw/refusals/refusal_service.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "azuregw/logging/log.h"
#include "azuregw/peer/frame_decoder.h"
#include "azuregw/refusals/refusal_aggregator.h"
#include "azuregw/refusals/refusal_ledger.h"

namespace azuregw {
namespace {

class RefusalServiceImpl final : public RefusalService {
 public:
  RefusalServiceImpl(RefusalServiceOptions options, RefusalServiceDependencies dependencies)
      : m_options(std::move(options)),
        m_dependencies(dependencies),
        m_ledger(std::make_shared<RefusalLedger>(m_options.instance, m_options.incarnation)),
        m_aggregator(std::make_shared<RefusalAggregator>(m_options.failure_domain)) {}
  ~RefusalServiceImpl() override { Stop(); }

  RefusalRecorder* Recorder() override { return m_ledger.get(); }
  void Start() override;
  void Stop() override;

 private:
  void Run();
  void Report(bool last);
  void Write();
  // Position of this instance among the aggregators; kRefusalAggregators when it is none.
  size_t Rank(const std::vector<std::string>& aggregators) const;
  std::vector<std::string> Aggregators() const;

  const RefusalServiceOptions m_options;
  const RefusalServiceDependencies m_dependencies;
  // Shared with callbacks of the peer service, which may run after this object is gone.
  const std::shared_ptr<RefusalLedger> m_ledger;
  const std::shared_ptr<RefusalAggregator> m_aggregator;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;  // Guarded by m_mutex.
  std::thread m_thread;
  size_t m_rank = kRefusalAggregators;
  TimePoint m_next_write{};
};

void RefusalServiceImpl::Start() {
  m_dependencies.peers->SetRequestHandler(
      wire::Body::RefusalReport, [aggregator = m_aggregator, clock = m_dependencies.clock](
                                     const std::string& peer, const wire::EnvelopeT& request,
                                     const PeerService::Responder& respond) {
        const wire::RefusalReportT& report = *request.body.AsRefusalReport();
        // An instance reports for itself only.
        if (report.instance == peer) {
          respond(MakeEnvelope(aggregator->OnReport(report, clock->WallMs())));
        }
      });
  m_thread = std::thread([this] { Run(); });
}

void RefusalServiceImpl::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  if (!m_thread.joinable()) {
    return;
  }
  m_thread.join();
  Report(true);
  if (m_rank < kRefusalAggregators) {
    Write();
  }
}

void RefusalServiceImpl::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_wake.wait_for(lock, m_options.report_interval, [this] { return m_stopping; })) {
    lock.unlock();
    Report(false);
    if (m_rank < kRefusalAggregators && m_dependencies.clock->Now() >= m_next_write) {
      m_next_write = m_dependencies.clock->Now() + m_options.write_interval;
      Write();
    }
    lock.lock();
  }
}

void RefusalServiceImpl::Report(bool last) {
  const std::vector<std::string> aggregators = Aggregators();
  const size_t rank = Rank(aggregators);
  if (rank != m_rank) {
    m_rank = rank;
    m_aggregator->Clear();
    // The aggregators write in turns, so that their swaps rarely conflict.
    m_next_write = m_dependencies.clock->Now() + m_options.write_interval * (rank + 1) / 2;
  }
  struct Outstanding {
    std::mutex mutex;
    std::condition_variable changed;
    size_t count = 0;
  };
  const auto outstanding = std::make_shared<Outstanding>();
  const int64_t wall_ms = m_dependencies.clock->WallMs();
  for (RefusalSend& send : m_ledger->MakeReports(aggregators, wall_ms, last)) {
    if (send.aggregator == m_options.instance) {
      m_ledger->OnAck(send.aggregator, m_aggregator->OnReport(send.report, wall_ms));
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(outstanding->mutex);
      ++outstanding->count;
    }
    m_dependencies.peers->Request(send.aggregator, MakeEnvelope(std::move(send.report)),
                                  m_options.final_report_limit,
                                  [ledger = m_ledger, aggregator = send.aggregator,
                                   outstanding](const Result<wire::EnvelopeT>& reply) {
                                    if (reply && reply.value().body.AsRefusalAck() != nullptr) {
                                      ledger->OnAck(aggregator, *reply.value().body.AsRefusalAck());
                                    }
                                    const std::lock_guard<std::mutex> lock(outstanding->mutex);
                                    --outstanding->count;
                                    outstanding->changed.notify_all();
                                  });
  }
  if (last) {
    std::unique_lock<std::mutex> lock(outstanding->mutex);
    outstanding->changed.wait_for(lock, m_options.final_report_limit,
                                  [&outstanding] { return outstanding->count == 0; });
  }
}

void RefusalServiceImpl::Write() {
  std::set<std::string> live;
  const std::shared_ptr<const Snapshot> snapshot = m_dependencies.snapshots->Current();
  for (const MemberView& member : snapshot->members) {
    if (member.failure_domain == m_options.failure_domain) {
      live.insert(member.name);
    }
  }
  const int64_t wall_ms = m_dependencies.clock->WallMs();
  m_aggregator->OnMembers(live, wall_ms);
  const Result<void> written = m_aggregator->Write(m_dependencies.kv, wall_ms);
  if (!written) {
    LogEvent(LogLevel::kWarning, "refusals", "refusal_write_failed", "", written.error().code,
             written.error().message);
  }
}

size_t RefusalServiceImpl::Rank(const std::vector<std::string>& aggregators) const {
  const auto it = std::find(aggregators.begin(), aggregators.end(), m_options.instance);
  return it == aggregators.end() ? kRefusalAggregators
                                 : static_cast<size_t>(it - aggregators.begin());
}

std::vector<std::string> RefusalServiceImpl::Aggregators() const {
  return RefusalAggregatorsOf(m_options.failure_domain,
                              m_dependencies.snapshots->Current()->members);
}

}  // namespace

std::unique_ptr<RefusalService> MakeRefusalService(RefusalServiceOptions options,
                                                   RefusalServiceDependencies dependencies) {
  return std::make_unique<RefusalServiceImpl>(std::move(options), dependencies);
}

}  // namespace azuregw
