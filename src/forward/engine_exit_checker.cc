// Queries of processes whose connections ended.

#include "azuregw/forward/engine_exit_checker.h"

#include <iterator>

namespace azuregw {
namespace {

// A healthy engine responds within about 5 ms, a host without the process refuses at once.
constexpr Milliseconds kQueryTimeout{150};
// Time for which results are kept. The connections of a process that exits end within seconds, also
// those that were frozen or held up.
constexpr Milliseconds kResultMemory{10000};

}  // namespace

UpstreamProcess ListedProcess(const Fleet& fleet, const std::string& id) {
  const Upstream* const upstream = fleet.Find(id);
  if (upstream == nullptr) {
    return {};
  }
  const UpstreamRecord& record = upstream->record;
  return {id, record.address, record.started_ms, !record.accelerator.empty()};
}

bool EngineExitChecker::Announced(const UpstreamProcess& process) const {
  const Upstream* const entry = m_fleet->Find(process.id);
  return entry == nullptr || entry->Leaving(m_loop->Now());
}

bool EngineExitChecker::IsCrash(const UpstreamProcess& process, State state) const {
  return state == State::kExited || (state == State::kSilent && process.engine);
}

void EngineExitChecker::CheckCrash(const UpstreamProcess& process,
                                   std::function<void(bool crashed)> done) {
  if (Announced(process)) {
    done(false);
    return;
  }
  Query(process, [this, process, done = std::move(done)](State state) {
    done(IsCrash(process, state) && !Announced(process));
  });
}

void EngineExitChecker::CheckWhole(const UpstreamProcess& process,
                                   std::function<void(bool whole)> done) {
  if (process.id.empty()) {
    done(false);
    return;
  }
  Query(process, [this, process, done = std::move(done)](State state) {
    const bool whole = state == State::kRuns;
    if (!whole) {
      m_log->Write("response_not_proved_whole",
                   {{"upstream", process.id}, {"started_ms", process.started_ms}}, true);
      m_metrics->Add("azuregw_responses_not_proved_whole_total", "", 1);
    }
    done(whole);
  });
}

void EngineExitChecker::Query(const UpstreamProcess& process, StateCallback done) {
  const TimePoint now = m_loop->Now();
  for (auto result = m_results.begin(); result != m_results.end();) {
    result =
        now - result->second.sent_at > kResultMemory ? m_results.erase(result) : std::next(result);
  }
  const Key key(process.id, process.started_ms);
  const auto known = m_results.find(key);
  if (known != m_results.end() && (known->second.replaced || now <= known->second.sent_at)) {
    done(known->second.state);
    return;
  }
  Watch& watch = m_watches[key];
  if (watch.querying) {
    watch.next.push_back(std::move(done));
    return;
  }
  watch.asked.push_back(std::move(done));
  SendQuery(process);
}

void EngineExitChecker::SendQuery(const UpstreamProcess& process) {
  Watch& watch = m_watches[Key(process.id, process.started_ms)];
  watch.querying = true;
  watch.sent_at = m_loop->Now();
  m_engines->QueryReport(
      process.address, kQueryTimeout,
      [this, process](const azuregw::Result<EngineReport>& report) { OnReport(process, report); });
}

EngineExitChecker::State EngineExitChecker::Judge(
    const UpstreamProcess& process, const azuregw::Result<EngineReport>& report) const {
  if (!report) {
    return report.error().code == ResultCode::kUpstreamUnreachable ? State::kExited
                                                                   : State::kSilent;
  }

  const int64_t started_ms = report.value().started_ms;
  if (started_ms == process.started_ms) {
    return State::kRuns;  // Also where the platform states no start times at all.
  }
  return started_ms > 0 && process.started_ms > 0 ? State::kExited : State::kUnknown;
}

void EngineExitChecker::OnReport(const UpstreamProcess& process,
                                 const azuregw::Result<EngineReport>& report) {
  const Key key(process.id, process.started_ms);
  const State state = Judge(process, report);
  if (IsCrash(process, state) && !Announced(process)) {
    m_log->Write("engine_exited",
                 {{"upstream", process.id},
                  {"started_ms", process.started_ms},
                  {"reason", report ? "restarted" : report.error().message}},
                 true);
    m_metrics->Add("azuregw_engine_exits_total", "", 1);
  }
  Watch watch = std::move(m_watches[key]);
  m_watches.erase(key);
  // A host that refuses a connection may only be full; a later process proves the exit for good.
  m_results[key] = {state, watch.sent_at, state == State::kExited && report.has_value()};
  for (const StateCallback& done : watch.asked) {
    done(state);
  }
  for (StateCallback& done : watch.next) {
    Query(process, std::move(done));
  }
}

}  // namespace azuregw
