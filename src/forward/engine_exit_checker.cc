// Queries of upstreams whose connections ended.

#include "azuregw/forward/engine_exit_checker.h"

namespace azuregw {
namespace {

// A healthy engine responds within about 5 ms, a host without the process refuses at once.
constexpr Milliseconds kQueryTimeout{150};
// Time for which a result holds for further requests; their connections end within some ms.
constexpr Milliseconds kResultTtl{500};

}  // namespace

void EngineExitChecker::Check(const std::string& upstream, Callback done) {
  const Upstream* const entry = m_fleet->Find(upstream);
  const TimePoint now = m_loop->Now();
  if (entry == nullptr || entry->Leaving(now)) {
    done(false, 0);  // Leaves as announced.
    return;
  }
  const int64_t started_ms = entry->record.started_ms;
  for (auto result = m_results.begin(); result != m_results.end();) {
    result =
        now - result->second.known_at > kResultTtl ? m_results.erase(result) : std::next(result);
  }
  const auto known = m_results.find({upstream, started_ms});
  if (known != m_results.end()) {
    done(known->second.exited, started_ms);
    return;
  }
  std::vector<Callback>& waiting = m_pending[upstream];
  waiting.push_back(std::move(done));
  if (waiting.size() == 1) {
    m_engines->QueryReport(
        entry->record.address, kQueryTimeout,
        [this, upstream, started_ms](const azuregw::Result<EngineReport>& report) {
          OnReport(upstream, started_ms, report);
        });
  }
}

void EngineExitChecker::OnReport(const std::string& upstream, int64_t started_ms,
                                 const azuregw::Result<EngineReport>& report) {
  const Upstream* const entry = m_fleet->Find(upstream);
  const bool engine = entry != nullptr && !entry->record.accelerator.empty();
  // Another start time belongs to the next process at the same address. Plain upstreams may answer
  // late or without a report.
  const bool exited = report
                          ? report.value().started_ms > 0 && report.value().started_ms != started_ms
                          : engine || report.error().code == ResultCode::kUpstreamUnreachable;
  m_results[{upstream, started_ms}] = {exited, m_loop->Now()};
  if (exited) {
    m_log->Write("engine_exited",
                 {{"upstream", upstream},
                  {"started_ms", started_ms},
                  {"reason", report ? "restarted" : report.error().message}},
                 true);
    m_metrics->Add("azuregw_engine_exits_total", "", 1);
  }
  const std::vector<Callback> waiting = std::move(m_pending[upstream]);
  m_pending.erase(upstream);
  for (const Callback& done : waiting) {
    done(exited, started_ms);
  }
}

}  // namespace azuregw
