// Probes of engines whose streams are silent or slow.

#include "forward/engine_health_checker.h"

namespace azuregw {
namespace {

// Time for which new streams avoid an engine that stopped.
constexpr Milliseconds kStoppedDuration{1500};
// A healthy engine responds within about 5 ms; streams must be rerouted within 200 ms of silence.
constexpr Milliseconds kProbeTimeout{40};
constexpr Milliseconds kSilenceProbeInterval{150};
// Slowdown of all streams of an engine, relative to the usual pace, above which its pace is
// queried.
constexpr double kPaceProbeSlowdown = 2.0;
constexpr Milliseconds kPaceProbeInterval{700};
// Pace reported by an engine above which streams that are late are rerouted around it.
constexpr double kSlowPaceThreshold = 2.5;

}  // namespace

void EngineHealthChecker::Start() {
  m_timer = m_loop->After(StreamMonitor::kTickInterval, [this] {
    Tick();
    Start();
  });
}

void EngineHealthChecker::Tick() {
  const TimePoint now = m_loop->Now();
  const StreamMonitor::TickResult result = m_monitor->Tick(now);
  for (const auto& [id, slowdown] : result.slowdowns) {
    if (slowdown > kPaceProbeSlowdown) {
      ProbePace(id, now);
    }
  }
  RerouteOneSlowStream(now);
  for (const std::string& id : result.unresponsive) {
    ProbeSilentEngine(id, now);
  }
}

void EngineHealthChecker::ProbeSilentEngine(const std::string& id, TimePoint now) {
  const Upstream* const upstream = m_fleet->Find(id);
  if (upstream == nullptr) {
    return;
  }
  if (now < upstream->stopped_until) {
    RerouteAroundStopped(id);  // Already marked, possibly by another instance.
    return;
  }
  TimePoint& last_probe = m_last_silence_probe[id];
  // The engine wants no requests; one probe tells whether its streams must leave it.
  const Statement& closed = upstream->statements.Of(StatedFact::kClosed, StatementSource::kAnswer);
  const bool probed_while_closed = now < closed.until && last_probe >= closed.heard_at;
  if (now - last_probe < kSilenceProbeInterval || probed_while_closed) {
    return;
  }
  last_probe = now;
  m_engines->QueryReport(
      upstream->record.address, kProbeTimeout, [this, id](const Result<EngineReport>& report) {
        if (report) {
          return;
        }
        m_fleet->MarkStopped(id, kStoppedDuration, m_loop->Now());
        m_log->Write("upstream_suspect",
                     {{"upstream", id},
                      {"reason", "its streams are silent: " + report.error().message},
                      {"for_ms", kStoppedDuration.count()}},
                     true);
        RerouteAroundStopped(id);
      });
}

void EngineHealthChecker::ProbePace(const std::string& id, TimePoint now) {
  const Upstream* const upstream = m_fleet->Find(id);
  if (upstream == nullptr || now < upstream->slowdown_until || !upstream->Accepts(now)) {
    return;
  }
  TimePoint& last_probe = m_last_pace_probe[id];
  if (now - last_probe < kPaceProbeInterval) {
    return;
  }
  last_probe = now;
  m_engines->QueryReport(
      upstream->record.address, EngineControl::kReportTimeLimit,
      [this, id](const Result<EngineReport>& report) {
        if (!report) {
          return;  // The silence of its streams shows whether it stopped.
        }
        const double pace = report.value().pace;
        if (pace > kSlowPaceThreshold) {
          m_log->Write("upstream_slow", {{"upstream", id}, {"pace", pace}}, false);
        }
        m_fleet->OnPace(id, pace, m_loop->Now());
      });
}

void EngineHealthChecker::RerouteAroundStopped(const std::string& id) {
  for (MonitoredStream* stream : m_monitor->StreamsThrough(id)) {
    stream->RerouteAround(id, true);
  }
}

void EngineHealthChecker::RerouteOneSlowStream(TimePoint now) {
  for (const auto& [id, upstream] : m_fleet->All()) {
    if (now < upstream.slowdown_until && upstream.slowdown > kSlowPaceThreshold) {
      if (MonitoredStream* const stream = m_monitor->SlowestStreamThrough(id)) {
        stream->RerouteAround(id, false);
        return;
      }
    }
  }
}

}  // namespace azuregw
