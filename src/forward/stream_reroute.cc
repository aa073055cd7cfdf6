// How a stream leaves engines that stopped or are slow: by a changed path of the running request,
// or by going on elsewhere after its last event.

#include <algorithm>
#include <utility>

#include "forward/stream_exchange.h"

namespace azuregw {
namespace {

// Silence after which a path is examined, before and after the first event. Callers give up after
// 2 s; events come every 30 to 60 ms.
constexpr Milliseconds kFirstEventSilence{700};
constexpr Milliseconds kEventSilence{350};
constexpr Milliseconds kExamineInterval{200};
// Silence after which the stream moves to another path even if no engine could be found at fault.
constexpr Milliseconds kUnexplainedSilence{1300};
// An engine that worked this long after the last event is not the one that stopped: one event may
// still have been on its way.
constexpr Milliseconds kProgressSlack{100};
// When more engines of a path may be the silent one, only this stream avoids them: blaming all took
// working engines from the whole fleet, which overloaded the rest.
constexpr size_t kMaxBlamed = 2;
// How long an engine that was silent while others made progress gets no new streams.
constexpr Milliseconds kSilentFor{1500};
// Changes of one request's path; each is an order that costs about a twentieth of an answer.
constexpr int kMaxRepaths = 3;
// All streams of a stopped engine choose again at once, with the same view of the load.
constexpr double kRepathSpread = 1.0;

}  // namespace

void StreamExchange::RerouteAround(const std::string& engine, bool stopped) {
  if (!m_attempting || Closed() || m_moving) {
    return;
  }
  if (!stopped) {
    if (m_left_slow) {
      return;
    }
    m_left_slow = true;  // One change at most: it may not have got better.
  }
  if (engine != m_path.hops.front().id && Reroute(engine)) {
    return;
  }
  if (MayResend()) {
    MoveAwayFrom({engine}, stopped ? "an engine stopped" : "an engine is slow");
  }
}

bool StreamExchange::Reroute(const std::string& engine) {
  if (!m_streaming || m_repaths >= kMaxRepaths) {
    return false;
  }
  PathQuery query = Query();
  query.first_hop = m_path.hops.front();
  query.excluded.insert(engine);
  query.max_load = kMaxLoadResumed;
  query.max_slowdown = kMaxSlowdown;
  query.cost_jitter = kRepathSpread;
  PathError problem = PathError::kLayersNotCovered;
  std::optional<EnginePath> path = m_context->paths->Choose(*m_context->fleet, query, &problem);
  if (!path) {
    return false;
  }
  ++m_repaths;
  m_moving = true;
  const uint64_t generation = ++m_generation;
  const TimePoint asked = Now();
  m_context->engines->Reroute(
      m_path.hops.front(), m_caller.id, path->hops,
      [this, generation, asked, path = *path, engine,
       alive = std::weak_ptr<int>(m_alive)](OrderOutcome outcome) {
        if (alive.expired() || generation != m_generation || !m_attempting) {
          return;
        }
        m_moving = false;
        const bool moved = outcome == OrderOutcome::kStarted || outcome == OrderOutcome::kHolds;
        LogAttempt(
            moved ? "moved" : "not_moved",
            "left " + engine + ", asked " +
                std::to_string(std::chrono::duration_cast<Milliseconds>(Now() - asked).count()) +
                " ms ago");
        if (!moved) {
          // An engine that was to replace the other one is not there or has no room.
          for (const PathHop& hop : path.hops) {
            const bool kept =
                std::any_of(m_path.hops.begin(), m_path.hops.end(),
                            [&hop](const PathHop& present) { return present.id == hop.id; });
            if (!kept) {
              m_excluded.insert(hop.id);
            }
          }
          if (m_last_bytes <= asked && !Reroute(engine) && MayResend()) {
            MoveAwayFrom({engine}, "an engine stopped, and the path could not be changed");
          }
          return;
        }
        for (const PathHop& hop : m_path.hops) {
          m_context->fleet->Release(hop.id, Reservation(hop));
        }
        m_path = path;
        for (const PathHop& hop : m_path.hops) {
          m_context->fleet->Reserve(hop.id, Reservation(hop));
        }
        m_excluded.insert(engine);
        m_last_bytes = Now();
        BeginMonitoring();
        WatchSilence();
      });
  return true;
}

void StreamExchange::WatchSilence() {
  const Milliseconds limit = m_streaming ? kEventSilence : kFirstEventSilence;
  m_silence_timer = m_context->loop->After(m_examinations > 0 ? kExamineInterval : limit,
                                           [this] { OnSilenceTimer(); });
}

void StreamExchange::OnSilenceTimer() {
  const Milliseconds limit = m_streaming ? kEventSilence : kFirstEventSilence;
  const auto silence = std::chrono::duration_cast<Milliseconds>(Now() - m_last_bytes);
  if (silence < limit) {
    m_examinations = 0;
    m_silence_timer =
        m_context->loop->After(limit - silence + Milliseconds(1), [this] { OnSilenceTimer(); });
    return;
  }
  if (m_moving) {
    WatchSilence();
    return;
  }
  ++m_examinations;
  if (silence >= kUnexplainedSilence && MayResend()) {
    MoveAwayFrom(SilentEngines(), "silent for " + std::to_string(silence.count()) + " ms");
    return;
  }
  const uint64_t generation = ++m_generation;
  const PathHop first = m_path.hops.front();
  m_context->engines->QueryReport(
      first.address, EngineControl::kReportTimeLimit,
      [this, generation, first, alive = std::weak_ptr<int>(m_alive)](Result<EngineReport> state) {
        if (alive.expired() || generation != m_generation || !m_attempting) {
          return;
        }
        OnReport(first.id, state);
      });
  WatchSilence();
}

void StreamExchange::OnReport(const std::string& first, const Result<EngineReport>& state) {
  if (!state) {
    // Silence alone is no reason to end an answer that cannot go on elsewhere.
    if (MayResend()) {
      MoveAwayFrom({first}, "the first engine does not report: " + state.error().message);
    }
    return;
  }
  for (const StalledRequest& stalled : state.value().stalled) {
    if (stalled.request_id != m_caller.id) {
      continue;
    }
    if (const std::string* id = m_context->fleet->FindByAddress(stalled.address)) {
      SuspectEngine(*id, kSilentFor, "stalled");
      RerouteAround(*id, true);
      return;
    }
  }
}

std::set<std::string> StreamExchange::SilentEngines() const {
  std::set<std::string> silent;
  for (const PathHop& hop : m_path.hops) {
    const Upstream* const upstream = m_context->fleet->Find(hop.id);
    if (upstream == nullptr || upstream->last_progress <= m_last_bytes + kProgressSlack) {
      silent.insert(hop.id);
    }
  }
  return silent;
}

void StreamExchange::MoveAwayFrom(const std::set<std::string>& engines, const std::string& reason) {
  EndAttempt();
  LogAttempt("silent", reason);
  for (const std::string& id : engines) {
    if (engines.size() <= kMaxBlamed) {
      SuspectEngine(id, kSilentFor, reason);
    }
    m_excluded.insert(id);
  }
  Again(reason, true);
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
