// Rerouting of streams around stopped or slow engines: the running request is rerouted to another
// path, or it is sent again to resume after its last event.

#include <algorithm>
#include <utility>

#include "forward/stream_exchange.h"

namespace azuregw {
namespace {

// Silence after which a path is checked, before and after the first event. Events arrive every 30
// to 60 ms; callers time out after 2 s.
constexpr Milliseconds kFirstEventSilenceLimit{700};
constexpr Milliseconds kEventSilenceLimit{350};
constexpr Milliseconds kSilenceCheckInterval{200};
// Silence after which a stream resumes on another path even if no engine is known to be at fault.
constexpr Milliseconds kMaxUnexplainedSilence{1300};
// An engine that made progress later than this after the last event is not the one that stopped.
// The tolerance covers the time that one event is in transit.
constexpr Milliseconds kProgressTolerance{100};
// If more engines than this may be at fault for a silent path, only this stream avoids them.
// Suspecting all of them would remove healthy engines for the whole fleet and overload the rest.
constexpr size_t kMaxSuspectsPerStream = 2;
// Time for which an engine is suspect after it was silent while others made progress.
constexpr Milliseconds kSilentSuspectTime{1500};
// Maximum number of reroutes per request. Each one is an order to an engine that costs about a
// twentieth of what a response costs.
constexpr int kMaxReroutes = 3;
// Random share that is added to path costs when a stream is rerouted. It is high because all
// streams of a stopped engine choose new paths at once, with the same view of the load.
constexpr double kRerouteCostJitter = 1.0;

}  // namespace

void StreamExchange::RerouteAround(const std::string& engine, bool stopped) {
  if (!m_attempt_active || Closed() || m_rerouting) {
    return;
  }
  if (!stopped) {
    if (m_left_slow_engine) {
      return;
    }
    m_left_slow_engine = true;  // At most once, since the new path may not be faster.
  }
  if (engine != m_path.hops.front().id && Reroute(engine)) {
    return;
  }
  if (MayResend()) {
    RetryAvoiding({engine}, stopped ? "an engine stopped" : "an engine is slow");
  }
}

bool StreamExchange::Reroute(const std::string& engine) {
  if (!m_streaming || m_reroutes >= kMaxReroutes || Blocked()) {
    return false;
  }
  PathQuery query = BuildPathQuery();
  query.first_hop = m_path.hops.front();
  query.excluded.insert(engine);
  query.max_load = kMaxLoadResumed;
  query.max_link_load = kMaxLinkLoadResumed;
  query.max_slowdown = kMaxSlowdown;
  query.cost_jitter = kRerouteCostJitter;
  query.unseen_streams = 0;  // The jitter spreads the streams of the stopped engine.
  PathError error = PathError::kLayersNotCovered;
  std::optional<EnginePath> path = m_context->paths->Choose(*m_context->fleet, query, &error);
  if (!path) {
    return false;
  }
  ++m_reroutes;
  m_rerouting = true;
  const uint64_t generation = ++m_query_generation;
  const TimePoint asked = Now();
  m_context->engines->Reroute(
      m_path.hops.front(), m_caller.id, path->hops,
      [this, generation, asked, path = *path, engine,
       alive = std::weak_ptr<int>(m_alive)](OrderOutcome outcome) {
        if (alive.expired() || generation != m_query_generation || !m_attempt_active) {
          return;
        }
        m_rerouting = false;
        const bool rerouted = outcome == OrderOutcome::kStarted || outcome == OrderOutcome::kHolds;
        LogAttempt(
            rerouted ? "moved" : "not_moved",
            "around " + engine + ", answered after " +
                std::to_string(std::chrono::duration_cast<Milliseconds>(Now() - asked).count()) +
                " ms");
        if (!rerouted) {
          // A replacement engine is unreachable or has no memory.
          for (const PathHop& hop : path.hops) {
            const bool kept =
                std::any_of(m_path.hops.begin(), m_path.hops.end(),
                            [&hop](const PathHop& present) { return present.id == hop.id; });
            if (!kept) {
              m_excluded_engines.insert(hop.id);
            }
          }
          if (m_last_bytes <= asked && !Reroute(engine) && MayResend()) {
            RetryAvoiding({engine}, "an engine stopped, and the request could not be rerouted");
          }
          return;
        }
        for (const PathHop& hop : m_path.hops) {
          m_context->fleet->Release(hop.id, Reservation(hop));
        }
        m_path = path;
        RecordTransfers();
        for (const PathHop& hop : m_path.hops) {
          m_context->fleet->Reserve(hop.id, Reservation(hop));
        }
        m_excluded_engines.insert(engine);
        m_last_bytes = Now();
        BeginMonitoring();
        StartSilenceTimer();
      });
  return true;
}

void StreamExchange::StartSilenceTimer() {
  const Milliseconds limit = m_streaming ? kEventSilenceLimit : kFirstEventSilenceLimit;
  m_silence_timer = m_context->loop->After(m_silence_checks > 0 ? kSilenceCheckInterval : limit,
                                           [this] { OnSilenceTimer(); });
}

void StreamExchange::OnSilenceTimer() {
  const Milliseconds limit = m_streaming ? kEventSilenceLimit : kFirstEventSilenceLimit;
  const auto silence = std::chrono::duration_cast<Milliseconds>(Now() - m_last_bytes);
  if (silence < limit) {
    m_silence_checks = 0;
    m_silence_timer =
        m_context->loop->After(limit - silence + Milliseconds(1), [this] { OnSilenceTimer(); });
    return;
  }
  if (m_rerouting) {
    StartSilenceTimer();
    return;
  }
  ++m_silence_checks;
  if (silence >= kMaxUnexplainedSilence && MayResend()) {
    RetryAvoiding(FindSilentEngines(), "silent for " + std::to_string(silence.count()) + " ms");
    return;
  }
  const uint64_t generation = ++m_query_generation;
  const PathHop first = m_path.hops.front();
  m_context->engines->QueryReport(
      first.address, EngineControl::kReportTimeLimit,
      [this, generation, first, alive = std::weak_ptr<int>(m_alive)](Result<EngineReport> state) {
        if (alive.expired() || generation != m_query_generation || !m_attempt_active) {
          return;
        }
        OnEngineReport(first.id, state);
      });
  StartSilenceTimer();
}

void StreamExchange::OnEngineReport(const std::string& first, const Result<EngineReport>& state) {
  if (!state) {
    // Silence alone does not end a response that cannot resume elsewhere.
    if (MayResend()) {
      RetryAvoiding({first}, "the first engine does not report: " + state.error().message);
    }
    return;
  }
  for (const StalledRequest& stalled : state.value().stalled) {
    if (stalled.request_id != m_caller.id) {
      continue;
    }
    if (const std::string* id = m_context->fleet->FindByAddress(stalled.address)) {
      SuspectEngine(*id, kSilentSuspectTime, "stalled");
      RerouteAround(*id, true);
      return;
    }
  }
}

std::set<std::string> StreamExchange::FindSilentEngines() const {
  std::set<std::string> silent;
  for (const PathHop& hop : m_path.hops) {
    const Upstream* const upstream = m_context->fleet->Find(hop.id);
    if (upstream == nullptr || upstream->last_progress <= m_last_bytes + kProgressTolerance) {
      silent.insert(hop.id);
    }
  }
  return silent;
}

void StreamExchange::RetryAvoiding(const std::set<std::string>& engines,
                                   const std::string& reason) {
  EndAttempt();
  LogAttempt("silent", reason);
  for (const std::string& id : engines) {
    if (engines.size() <= kMaxSuspectsPerStream) {
      SuspectEngine(id, kSilentSuspectTime, reason);
    }
    m_excluded_engines.insert(id);
  }
  Retry(reason, true);
}

void StreamExchange::SuspectEngine(const std::string& id, Milliseconds duration,
                                   const std::string& reason) {
  if (m_context->fleet->Suspect(id, duration, Now())) {
    const Upstream* const upstream = m_context->fleet->Find(id);
    const auto time = std::chrono::duration_cast<Milliseconds>(upstream->suspect_until - Now());
    m_context->log->Write("upstream_suspect",
                          {{"upstream", id},
                           {"reason", reason},
                           {"for_ms", time.count()},
                           {"in_a_row", upstream->suspicions},
                           {"request_id", m_caller.id}},
                          true);
  }
}

}  // namespace azuregw
